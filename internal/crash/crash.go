// Package crash logs a panic as one structured line with the stack and then exits. No panic is swallowed: the program would go on
// with inconsistent state.
package crash

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"
)

// ExitStatus is the program's exit status after a panic, the same as the Go runtime's.
const ExitStatus = 2

// Guard logs a panic and exits. It must be deferred first in every goroutine, and in every callback that runs on a
// library's goroutine.
func Guard() {
	if v := recover(); v != nil {
		slog.Error("panic", "value", fmt.Sprint(v), "stack", string(debug.Stack()))
		os.Exit(ExitStatus)
	}
}

// Go runs f in a new goroutine under Guard.
func Go(f func()) {
	go func() {
		defer Guard()
		f()
	}()
}

// AfterFunc is time.AfterFunc with f under Guard.
func AfterFunc(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		defer Guard()
		f()
	})
}
