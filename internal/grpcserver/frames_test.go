package grpcserver

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// However the bytes of a caller and of the server are cut into pieces, the streams that are open are those that the caller has begun
// and neither side has ended, and a boundary is where no frame or header block is incomplete.
func TestScannerFollowsStreamsInPieces(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 3))
	for range 500 {
		var s frameScanner
		var o openStreams
		s.prefaceLeft = len(http2.ClientPreface)
		text := bytes.NewBufferString(http2.ClientPreface)
		framer := http2.NewFramer(text, nil)
		require.NoError(t, framer.WriteSettings())
		open := map[uint32]bool{} // and whether its call is whole
		latest := uint32(0)
		for range 1 + random.IntN(20) {
			switch random.IntN(5) {
			case 0:
				latest += 2
				split := random.IntN(2) == 0
				require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: latest | 1, BlockFragment: make([]byte, random.IntN(300)), EndHeaders: !split}))
				if split {
					require.NoError(t, framer.WriteContinuation(latest|1, true, make([]byte, random.IntN(50))))
				}
				open[latest|1] = false
			case 1:
				end := random.IntN(2) == 0
				require.NoError(t, framer.WriteData(latest|1, end, make([]byte, random.IntN(3000))))
				if whole, isOpen := open[latest|1]; isOpen {
					open[latest|1] = whole || end
				}
			case 2:
				require.NoError(t, framer.WriteWindowUpdate(0, 1))
			case 3:
				require.NoError(t, framer.WriteRSTStream(latest|1, http2.ErrCodeCancel))
				delete(open, latest|1)
			case 4: // trailers of the caller
				if _, isOpen := open[latest|1]; isOpen {
					open[latest|1] = true
					require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: latest | 1, EndHeaders: true, EndStream: true}))
				}
			}
		}
		for raw := text.Bytes(); len(raw) > 0; {
			n := min(1+random.IntN(200), len(raw))
			s.scan(raw[:n], o.received)
			raw = raw[n:]
		}
		require.True(t, s.atBoundary())
		require.Len(t, o.whole, len(open))
		for id, whole := range open {
			require.Contains(t, o.whole, id)
			require.Equal(t, whole, o.whole[id])
		}
		s.scan([]byte{0}, o.received)
		require.False(t, s.atBoundary())

		var server frameScanner
		text.Reset()
		for id := range open {
			require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndHeaders: true}))
			require.NoError(t, framer.WriteData(id, false, make([]byte, random.IntN(100))))
			require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndHeaders: true, EndStream: true}))
		}
		for raw := text.Bytes(); len(raw) > 0; raw = raw[1:] {
			server.scan(raw[:1], o.sent)
		}
		require.True(t, server.atBoundary())
		require.Empty(t, o.whole)
	}
}

// A refused call counts until the end of its stream, or that of a later one, has been written, also where the caller has reset it.
func TestRefusedCallsCountUntilTheirEndsAreWritten(t *testing.T) {
	t.Parallel()
	var o openStreams
	headers := func(id uint32) http2.FrameHeader {
		return http2.FrameHeader{Type: http2.FrameHeaders, Flags: http2.FlagHeadersEndHeaders, StreamID: id}
	}
	end := func(id uint32) http2.FrameHeader {
		return http2.FrameHeader{Type: http2.FrameHeaders, Flags: http2.FlagHeadersEndHeaders | http2.FlagHeadersEndStream, StreamID: id}
	}
	for _, id := range []uint32{1, 3, 5, 7} {
		o.received(headers(id))
	}
	for _, refused := range []bool{true, false, true, true} {
		o.begun(refused)
	}
	require.Equal(t, []uint32{1, 5, 7}, o.refused)
	o.received(http2.FrameHeader{Type: http2.FrameRSTStream, StreamID: 5})
	require.Equal(t, []uint32{1, 5, 7}, o.refused)
	o.sent(end(1))
	require.Equal(t, []uint32{5, 7}, o.refused)
	o.sent(end(7))
	require.Empty(t, o.refused)

	o.received(headers(9)) // which the library refuses without asking
	o.allHandled()
	require.Equal(t, []uint32{9}, o.refused)
	o.received(http2.FrameHeader{Type: http2.FrameHeaders, StreamID: 11})
	o.allHandled()
	o.received(http2.FrameHeader{Type: http2.FrameContinuation, Flags: http2.FlagContinuationEndHeaders, StreamID: 11})
	o.begun(false)
	o.allHandled()
	require.Equal(t, []uint32{9}, o.refused)
	o.sent(end(11))
	require.Empty(t, o.refused)
}
