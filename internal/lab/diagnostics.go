package lab

import (
	"fmt"
	"strings"
	"time"
)

const (
	// maxListedRequests is how many requests without an answer a message lists.
	maxListedRequests = 10

	// worstSendLookback is how long before the worst request pauses of this process are looked for: a pause in that time
	// may have delayed the request's timestamp.
	worstSendLookback = 2 * time.Second
)

// diagnostics records what explains why a rule did not hold in a run on real limiters.
type diagnostics struct {
	began            time.Time
	pauses           *pauseMonitor
	limiterByRequest map[string]int // limiter index by a request's id as nodes see it
	withoutAnswer    []TryResult    // tries that ended without a final answer
}

func newDiagnostics() *diagnostics {
	return &diagnostics{began: time.Now(), pauses: startPauseMonitor(), limiterByRequest: map[string]int{}}
}

func (d *diagnostics) stop() { d.pauses.stop() }

// afterTry records how a try ended. Calls must not overlap.
func (d *diagnostics) afterTry(try TryResult) {
	d.limiterByRequest[requestID(try.ID)] = try.Limiter
	if try.Outcome == ConnectionLost || try.Outcome == Unanswered {
		d.withoutAnswer = append(d.withoutAnswer, try)
	}
}

// describeWithoutAnswer returns one line for each try that ended without a final answer, up to maxListedRequests.
func (d *diagnostics) describeWithoutAnswer(firms []*Firm) string {
	var b strings.Builder
	for i, try := range d.withoutAnswer {
		if i == maxListedRequests {
			fmt.Fprintf(&b, "\n  and %d more", len(d.withoutAnswer)-i)
			break
		}
		front := "RESP2"
		if try.OverGRPC {
			front = "gRPC"
		}
		fmt.Fprintf(&b, "\n  %s: request %s of firm %x over %s to limiter %d, due at %s, sent at %s, ended at %s; the longest pause of the lab's process meanwhile: %s",
			[...]string{ConnectionLost: "cut off", Unanswered: "unanswered"}[try.Outcome], requestID(try.ID), firms[try.Firm].ID, front, try.Limiter, d.sinceStart(try.Due), d.sinceStart(try.SentAt), d.sinceStart(try.EndedAt),
			d.pauses.longest(try.SentAt, try.EndedAt).Round(time.Millisecond))
	}
	return b.String()
}

// describeWorstSend returns a line on the request at which a firm exceeded its ceiling by the most.
func (d *diagnostics) describeWorstSend(firm *Firm, use QuotaUse) string {
	limiter := "over gRPC"
	if index, known := d.limiterByRequest[use.WorstSend.ID]; known {
		limiter = fmt.Sprintf("through limiter %d", index)
	}
	return fmt.Sprintf("\n  by firm %x (%s) at %s with request %q %s; the longest pause of the lab's process in the %s before: %s", firm.ID, firm.Tier, d.sinceStart(use.WorstSend.At),
		use.WorstSend.ID, limiter, worstSendLookback, d.pauses.longest(use.WorstSend.At.Add(-worstSendLookback), use.WorstSend.At).Round(time.Millisecond))
}

// sinceStart formats a moment as the time since the run began.
func (d *diagnostics) sinceStart(moment time.Time) string {
	return fmt.Sprintf("%.3f s", moment.Sub(d.began).Seconds())
}
