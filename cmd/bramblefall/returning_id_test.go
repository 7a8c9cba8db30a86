package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A client left while a try of its request was out, and the request came again under its id: the server ran it twice. The crossing is
// forced: the server has the request, and does not answer, when the client leaves.
func TestIDThatComesAgainWhileItMayRunIsNotRunTwice(t *testing.T) {
	t.Parallel()
	for _, secondCopies := range []bool{false, true} {
		t.Run(fmt.Sprintf("second copies: %t", secondCopies), func(t *testing.T) {
			t.Parallel()
			received, release := make(chan struct{}, 10), make(chan struct{})
			s := newServer(t, "s-1", "hall-a", func(conn net.Conn, args []string) {
				received <- struct{}{}
				<-release
				replyValue("v")(conn, args)
			})
			t.Cleanup(func() { close(release) })
			set := settings()
			set["caps"].(object)["parallelTries"] = secondCopies
			l := start(t, fixture{settings: set, servers: []*server{s}})
			first := l.dial()
			first.write(encodeCommand(doArgs("again")...))
			await(t, received, "the first try")
			require.NoError(t, first.conn.Close())
			time.Sleep(100 * time.Millisecond) // for the limiter to find its client gone and give the try up, which does not stop the server
			assert.Regexp(t, "^-ERR ", l.dial().do(doArgs("again")...))
			assert.Len(t, s.received(), 1)
			other := l.dial()
			other.write(encodeCommand(doArgs("other")...)) // other requests are not affected
			await(t, received, "a request of another id")
		})
	}
}
