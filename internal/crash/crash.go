// Package crash makes a panic say why before the program ends: one structured line with the stack, then the exit.
// Nothing is swallowed. netpoll's goroutine pool would otherwise recover a panic of ours and go on with half a state.
package crash

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"
)

// Status is what the program ends with after a panic, as the Go runtime's own.
const Status = 2

// Guard is deferred at the head of every goroutine and of every callback that a library's goroutine makes.
func Guard() {
	if v := recover(); v != nil {
		slog.Error("panic", "value", fmt.Sprint(v), "stack", string(debug.Stack()))
		os.Exit(Status)
	}
}

// Go runs f in a goroutine of its own.
func Go(f func()) {
	go func() {
		defer Guard()
		f()
	}()
}

// AfterFunc is time.AfterFunc with the guard.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		defer Guard()
		f()
	})
}
