//go:build race

package socket

import (
	"io"

	"github.com/cloudwego/netpoll"
)

// Only in race builds does netpoll look up the owner of an event by descriptor number instead of by pointer. If a connection
// is closed while one of its events is being handled, and a dial gets its descriptor number at once, the event goes to the dial.
// netpoll then logs the dial's whole state without a lock, concurrently with the dial's own timeout, and the race detector
// reports that. No other build has this lookup, so only here netpoll's log is discarded.
func init() { netpoll.SetLoggerOutput(io.Discard) }
