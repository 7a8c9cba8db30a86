package lab

import (
	"slices"
	"sort"
	"sync"
	"time"

	"bramblefall/logic"
)

// SendLog records every request that limiters really passed on for each firm, and compares it with the plan figures that
// were in force. Each try of a client has its own request id and counts once, as one unit, however often the limiter sends
// it to nodes.
type SendLog struct {
	mu          sync.Mutex
	seenIDs     map[string]struct{} // request ids: a limiter that sends a request to a further node does not count again
	sendsByFirm [][]SentRequest     // indexed like the firms of the load
}

// SentRequest is a request as the first node that got it saw it, or an admission over gRPC.
type SentRequest struct {
	At time.Time // when the node got it; over gRPC, when the client had the answer
	ID string    // the request's id as nodes see it; "" if it was admitted over gRPC, where no node sees it
}

// NewSendLog returns an empty log for the given number of firms.
func NewSendLog(firms int) *SendLog {
	return &SendLog{seenIDs: map[string]struct{}{}, sendsByFirm: make([][]SentRequest, firms)}
}

// Record adds a request at the present time, unless its id was recorded before. An empty id is always added.
func (l *SendLog) Record(firm int, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != "" {
		if _, recorded := l.seenIDs[id]; recorded {
			return
		}
		l.seenIDs[id] = struct{}{}
	}
	l.sendsByFirm[firm] = append(l.sendsByFirm[firm], SentRequest{now, id})
}

// PlanPeriod says that a limiter had the figures of Tiers in force from From until its next period begins.
type PlanPeriod struct {
	From  time.Time
	Tiers []logic.Plan
}

// PlanTimeline holds, for each limiter, its plan periods in order of time. Limiters may learn of a change at different
// times, so several figures may be in force at once.
type PlanTimeline struct{ ByLimiter [][]PlanPeriod }

// LargestPlan returns a plan in which each figure is the largest that any limiter had in force for the tier at time t.
func (timeline PlanTimeline) LargestPlan(tier string, t time.Time) (largest logic.Plan) {
	for _, periods := range timeline.ByLimiter {
		current := sort.Search(len(periods), func(i int) bool { return periods[i].From.After(t) }) - 1
		if current < 0 {
			continue
		}
		tierIndex := slices.IndexFunc(periods[current].Tiers, func(plan logic.Plan) bool { return plan.Name == tier })
		if tierIndex < 0 {
			continue
		}
		plan := periods[current].Tiers[tierIndex]
		largest.Rate, largest.Burst = max(largest.Rate, plan.Rate), max(largest.Burst, plan.Burst)
		largest.CeilingRate, largest.CeilingBurst = max(largest.CeilingRate, plan.CeilingRate), max(largest.CeilingBurst, plan.CeilingBurst)
		largest.CeilingSlack = max(largest.CeilingSlack, plan.CeilingSlack)
	}
	return largest
}

// firmSends returns a copy of the firm's recorded requests in order of time.
func (l *SendLog) firmSends(firm int) []SentRequest {
	l.mu.Lock()
	sends := slices.Clone(l.sendsByFirm[firm])
	l.mu.Unlock()
	slices.SortFunc(sends, func(a, b SentRequest) int { return a.At.Compare(b.At) })
	return sends
}

// tokenBucket is a firm's token bucket as a single limiter that sees all of the firm's requests would keep it. Its
// level may become negative: callers take units without a check.
type tokenBucket struct {
	tokens    float64 // units
	updatedAt time.Time
}

func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	b.tokens = min(b.tokens+rate*max(now.Sub(b.updatedAt).Seconds(), 0), burst)
	b.updatedAt = now
}

// QuotaUse compares a firm's recorded requests with its plan. All figures count units, and a request is one unit.
type QuotaUse struct {
	Sent, BeyondQuota   float64     // units passed on in all; those of them beyond the quota and the reserved units
	OverCeiling         float64     // the most units by which the ceiling and its slack were ever exceeded
	WorstSend           SentRequest // the request at which OverCeiling was reached
	BeyondQuotaInWindow []float64   // units beyond the quota, for each window that was asked for
	SentInWindow        []float64   // units passed on, for each window that was asked for
}

// Evaluate replays a firm's recorded requests, from began on, against a token bucket for its quota and one for its ceiling.
// The figures before a change are still allowed for the time grace after it. A request that exceeds the quota counts as
// inside as long as some of the reserved units are left. The result also counts units for each of the windows
// (from, until) by itself.
func (l *SendLog) Evaluate(firm int, tier string, timeline PlanTimeline, began time.Time, grace time.Duration, reservedUnits float64, windows [][2]time.Time) QuotaUse {
	largestPlan := func(at time.Time) logic.Plan {
		current, previous := timeline.LargestPlan(tier, at), timeline.LargestPlan(tier, at.Add(-grace))
		current.Rate, current.Burst = max(current.Rate, previous.Rate), max(current.Burst, previous.Burst)
		current.CeilingRate, current.CeilingBurst = max(current.CeilingRate, previous.CeilingRate), max(current.CeilingBurst, previous.CeilingBurst)
		current.CeilingSlack = max(current.CeilingSlack, previous.CeilingSlack)
		return current
	}
	plan := largestPlan(began)
	quota, ceiling := tokenBucket{plan.Burst, began}, tokenBucket{plan.CeilingBurst, began}
	use := QuotaUse{BeyondQuotaInWindow: make([]float64, len(windows)), SentInWindow: make([]float64, len(windows))}
	const step = 100 * time.Millisecond
	for _, send := range l.firmSends(firm) {
		at := send.At
		for quota.updatedAt.Add(step).Before(at) { // refill in steps: the figures also change between two requests
			next := quota.updatedAt.Add(step)
			plan := largestPlan(next)
			quota.refill(next, plan.Rate, plan.Burst)
			ceiling.refill(next, plan.CeilingRate, plan.CeilingBurst)
		}
		plan := largestPlan(at)
		quota.refill(at, plan.Rate, plan.Burst)
		ceiling.refill(at, plan.CeilingRate, plan.CeilingBurst)
		use.Sent++
		beyond := 0.0
		switch {
		case quota.tokens >= 1:
			quota.tokens--
		case reservedUnits >= 1:
			reservedUnits--
		default:
			beyond = 1
		}
		use.BeyondQuota += beyond
		for i, window := range windows {
			if !at.Before(window[0]) && at.Before(window[1]) {
				use.BeyondQuotaInWindow[i] += beyond
				use.SentInWindow[i]++
			}
		}
		if plan.CeilingRate > 0 {
			ceiling.tokens--
			if over := -ceiling.tokens - plan.CeilingSlack; over > use.OverCeiling {
				use.OverCeiling, use.WorstSend = over, send
			}
		}
	}
	return use
}
