package socket

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// bulkTurns are held by readers while they handle what came behind a full piece. Readers of peers that send much would otherwise
// fill the processor's queue, and each step of a small request would wait behind all of them.
var bulkTurns = sync.OnceValue(func() chan struct{} { return make(chan struct{}, runtime.GOMAXPROCS(0)) })

const (
	// turnPause lets the scheduler look at the network, which it does only once it has nothing else to run.
	turnPause = 20 * time.Microsecond

	// turnsBeforePause is how long readers with turns work, all together, before one of them pauses.
	turnsBeforePause = 250 * time.Microsecond
)

// turnWork is the time that readers have worked in their turns since the last pause.
var turnWork atomic.Int64

// turn is a reader's place among bulkTurns.
type turn struct {
	held bool
	from time.Time
}

func (t *turn) acquire() {
	bulkTurns() <- struct{}{}
	t.held, t.from = true, time.Now()
}

// release ends the turn. Now and then it pauses before: whoever waits for the turn is scheduled right behind the one that releases
// it, ahead of goroutines that are ready and of the network.
func (t *turn) release() {
	if !t.held {
		return
	}
	if turnWork.Add(int64(time.Since(t.from))) >= int64(turnsBeforePause) {
		turnWork.Store(0)
		time.Sleep(turnPause)
	}
	<-bulkTurns()
	t.held = false
}
