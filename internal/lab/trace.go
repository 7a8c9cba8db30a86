package lab

import (
	"fmt"
	"strings"
	"time"
)

const (
	mostTold    = 10              // requests that a message names
	pauseBefore = 2 * time.Second // before the worst send: a pause there may have moved it
)

// trace keeps what tells why a rule of a run on real limiters did not hold.
type trace struct {
	began    time.Time
	pauses   *pauseWatch
	limiters map[string]int // by the id of a request, as the nodes see it
	unended  []End          // those without a final answer
}

func newTrace() *trace {
	return &trace{began: time.Now(), pauses: watchPauses(), limiters: map[string]int{}}
}

func (t *trace) end() { t.pauses.end() }

// ended notes the end of a request. One call at a time.
func (t *trace) ended(e End) {
	t.limiters[requestID(e.ID)] = e.Limiter
	if e.Kind == Cut || e.Kind == Unanswered {
		t.unended = append(t.unended, e)
	}
}

// requests words those that were left without a final answer.
func (t *trace) requests(firms []*Firm) string {
	var b strings.Builder
	for k, e := range t.unended {
		if k == mostTold {
			fmt.Fprintf(&b, "\n  and %d more", len(t.unended)-k)
			break
		}
		front := "RESP2"
		if e.Call {
			front = "gRPC"
		}
		fmt.Fprintf(&b, "\n  %s: request %s of firm %x over %s to limiter %d, due at %s, sent at %s, ended at %s; the longest pause of the lab's process meanwhile: %s",
			[...]string{Cut: "cut off", Unanswered: "unanswered"}[e.Kind], requestID(e.ID), firms[e.Firm].ID, front, e.Limiter, t.at(e.Due), t.at(e.Sent), t.at(e.At),
			t.pauses.longest(e.Sent, e.At).Round(time.Millisecond))
	}
	return b.String()
}

// worst words the send that passed a firm's ceiling by the most.
func (t *trace) worst(f *Firm, v Verdict) string {
	limiter := "over gRPC"
	if k, known := t.limiters[v.Worst.Request]; known {
		limiter = fmt.Sprintf("through limiter %d", k)
	}
	return fmt.Sprintf("\n  by firm %x (%s) at %s with request %q %s; the longest pause of the lab's process in the %s before: %s", f.ID, f.Tier, t.at(v.Worst.At),
		v.Worst.Request, limiter, pauseBefore, t.pauses.longest(v.Worst.At.Add(-pauseBefore), v.Worst.At).Round(time.Millisecond))
}

// at words a moment as the time since the run began.
func (t *trace) at(moment time.Time) string {
	return fmt.Sprintf("%.3f s", moment.Sub(t.began).Seconds())
}
