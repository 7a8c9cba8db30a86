//go:build race

package socket

import (
	"io"

	"github.com/cloudwego/netpoll"
)

// In race builds alone netpoll finds the owner of an event by the number of its descriptor, not by a pointer. Where a
// connection is closed while an event of it is under way, and its number goes to a dial at once, the event is given to the
// dial; netpoll then logs the dial's whole state without a lock, beside the dial's own time-out, which is the race that the
// detector reports. No other build has that lookup.
func init() { netpoll.SetLoggerOutput(io.Discard) }
