package platform

import (
	"sync"
	"time"
)

// maxLeftIDs is how many IDs are kept of requests whose clients have gone. Beyond it the earliest are forgotten.
const maxLeftIDs = 4096

// requestIDs are the IDs of requests that may still run. A server would take a second request under such an ID for a copy of the
// first, or run it again.
type requestIDs struct {
	mu   sync.Mutex
	open map[string]struct{}
	left []leftID // of those in open, the ones that nobody waits for any more, in the order in which their clients have gone
}

// leftID is the ID of a request whose client has gone after it may have been sent.
type leftID struct {
	id    string
	until time.Time // when no server works on it any more
}

func newRequestIDs() *requestIDs { return &requestIDs{open: map[string]struct{}{}} }

// track registers an ID. It returns false if there is a request under it that may still run.
func (ids *requestIDs) track(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if _, open := ids.open[id]; open {
		return false
	}
	ids.open[id] = struct{}{}
	return true
}

// release forgets the ID of a request that is over.
func (ids *requestIDs) release(id string) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	delete(ids.open, id)
}

// keep releases an ID at the given time: servers may run its request until then.
func (ids *requestIDs) keep(id string, until time.Time) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if len(ids.left) >= maxLeftIDs {
		delete(ids.open, ids.left[0].id)
		ids.left = ids.left[1:]
	}
	ids.left = append(ids.left, leftID{id, until})
}

// expire releases the IDs whose time has come.
func (ids *requestIDs) expire(now time.Time) {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	remaining := ids.left[:0]
	for _, l := range ids.left {
		if now.Before(l.until) {
			remaining = append(remaining, l)
		} else {
			delete(ids.open, l.id)
		}
	}
	clear(ids.left[len(remaining):])
	ids.left = remaining
}

// leave gives up the ID of a request that nobody waits for any more. It is kept while the request may run.
func (f *Front) leave(r *request) {
	id := string(r.args[2])
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	r.left = true
	if r.mayRun {
		f.ids.keep(id, f.runsUntil(r))
	} else {
		f.ids.release(id)
	}
}

// noteSent takes note that a try of a request may run from now on. Its client may have left in this moment.
func (f *Front) noteSent(r *request) {
	id := string(r.args[2])
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	r.mayRun = true
	if r.left && f.ids.track(id) {
		f.ids.keep(id, f.runsUntil(r))
	}
}

// runsUntil returns until when a server may work on a request that is given up now.
func (f *Front) runsUntil(r *request) time.Time {
	return time.Now().Add(f.settings.Classes[r.class].Deadline)
}
