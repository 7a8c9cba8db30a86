package socket

import (
	"runtime"
	"sync"
)

// bulkTurns are held by readers while they handle what came behind a full piece. Readers of peers that send much would otherwise
// fill the processor's queue, and each step of a small request would wait behind all of them.
var bulkTurns = sync.OnceValue(func() chan struct{} { return make(chan struct{}, runtime.GOMAXPROCS(0)) })

// turn is a reader's place among bulkTurns.
type turn struct{ held bool }

func (t *turn) acquire() {
	bulkTurns() <- struct{}{}
	t.held = true
}

func (t *turn) release() {
	if t.held {
		<-bulkTurns()
		t.held = false
	}
}
