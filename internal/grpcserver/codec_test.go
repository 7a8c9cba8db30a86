package grpcserver

import (
	"testing"

	entriesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/common/ratelimit/v3"
	rlsv3 "github.com/envoyproxy/go-control-plane/envoy/service/ratelimit/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

// Messages of 60 KB with nothing but empty fields took some 2.5 MB each once they were decoded.
func TestMessageOfManyFieldsIsNotDecoded(t *testing.T) {
	decode := func(b []byte) (*rlsv3.RateLimitRequest, error) {
		m := &rlsv3.RateLimitRequest{}
		const maxFields = 10
		return m, newBoundedCodec(maxFields).Unmarshal(mem.BufferSlice{mem.SliceBuffer(b)}, m)
	}
	// One field for the domain, one for the descriptor, one for each entry and two for its key and its value.
	message := func(entries int) *rlsv3.RateLimitRequest {
		d := &entriesv3.RateLimitDescriptor{}
		for range entries {
			d.Entries = append(d.Entries, &entriesv3.RateLimitDescriptor_Entry{Key: "k", Value: "v"})
		}
		return &rlsv3.RateLimitRequest{Domain: "d", Descriptors: []*entriesv3.RateLimitDescriptor{d}}
	}
	for entries, fits := range map[int]bool{0: true, 2: true, 3: false, 1000: false} {
		b, err := proto.Marshal(message(entries))
		require.NoError(t, err)
		m, err := decode(b)
		if !fits {
			assert.ErrorIs(t, err, errTooManyFields, "%d entries", entries)
			continue
		}
		require.NoError(t, err)
		assert.True(t, proto.Equal(message(entries), m))
	}
	_, err := decode([]byte{0x12, 5, 1})
	assert.Error(t, err, "a field that is cut short")
}
