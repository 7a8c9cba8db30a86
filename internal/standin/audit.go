// Package standin implements stand-ins for the peers of a limiter from the description of the protocol: exchange nodes, the
// quota counter, discovery, clients and gRPC callers. Each follows fault scripts, and an auditor compares what clients send
// with what nodes receive and what clients are answered. Stand-ins listen on loopback only and are used by the project's
// tests and its lab; the limiter does not link them.
package standin

import (
	"bytes"
	"fmt"
	"sync"
)

// maxFindings is the number of findings whose text is kept. Further ones are only counted.
const maxFindings = 20

// Auditor checks the requests that clients sent against the commands that nodes received complete and the answers that
// clients got. It records each violation as a finding.
type Auditor struct {
	mu           sync.Mutex
	requests     map[string]*record
	findings     []string
	findingCount int
	tally        Tally
	drains       *drainAudit // nil: drains are not checked
}

// Tally counts the events that an Auditor was told of.
type Tally struct {
	Connections, Sent, Received, Served, Refused, Failed, RateLimitAnswers int
}

type record struct {
	args          [][]byte
	copiesSent    int  // complete copies that the client sent
	duplicated    bool // the client sends the request twice, so a second copy at a node is no retry by the limiter
	sendUncertain bool // copiesSent is not known yet, or not reliable because the limiter closed the connection
	responses     map[string]struct{}
	firstHall     string // hall of the first node where the request may have run
	mayHaveRun    bool
}

// NewAuditor returns an auditor that does not check drains.
func NewAuditor() *Auditor { return &Auditor{requests: map[string]*record{}} }

// Reportf records a violation.
func (a *Auditor) Reportf(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportf(format, args...)
}

func (a *Auditor) reportf(format string, args ...any) {
	if a.findingCount++; len(a.findings) < maxFindings {
		a.findings = append(a.findings, fmt.Sprintf(format, args...))
	}
}

// Findings returns the texts of the first findings and the number of all.
func (a *Auditor) Findings() ([]string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.findings...), a.findingCount
}

// Tally returns the counts so far.
func (a *Auditor) Tally() Tally {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tally
}

// ConnectionOpened counts a connection that follows a script.
func (a *Auditor) ConnectionOpened() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally.Connections++
}

// BeginSend registers a request before a client sends its first byte. duplicated says that the client will send it twice.
func (a *Auditor) BeginSend(id string, args [][]byte, duplicated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = &record{args: args, duplicated: duplicated, sendUncertain: true, responses: map[string]struct{}{}}
	a.tally.Sent++
}

// EndSend records how many complete copies of a request the client sent. certain is false if that is not known because the
// limiter closed the connection.
func (a *Auditor) EndSend(id string, copies int, certain bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[id]
	r.copiesSent, r.sendUncertain = copies, !certain
	if certain && copies == 0 && len(r.responses) > 0 {
		a.reportf("request %s reached a node, but its client sent no complete copy", id)
	}
}

// Received records a complete command at a node of a hall, and the value that the node answers with. mayRun is false if the
// node refuses the command.
func (a *Auditor) Received(args [][]byte, hall, value string, mayRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally.Received++
	if len(args) < 4 {
		a.reportf("a node received a command of %d words, want at least 4", len(args))
		return
	}
	id := string(args[2])
	r := a.requests[id]
	if r == nil {
		a.reportf("a node received request %q, which no client sent", id)
		return
	}
	same := len(args) == len(r.args)
	for k := 0; same && k < len(args); k++ {
		same = k == 3 || bytes.Equal(args[k], r.args[k]) // the options differ: they say how long the limiter itself will wait
	}
	if !same {
		a.reportf("request %s was changed on its way to a node: received %q, sent as %q", id, args, r.args)
	}
	if !r.sendUncertain && r.copiesSent == 0 {
		a.reportf("request %s reached a node, but its client sent no complete copy", id)
	}
	r.responses[value] = struct{}{}
	if hasIdempotencyKey(args) && r.mayHaveRun && r.firstHall != hall && !r.duplicated {
		a.reportf("request %s may have run in %s and was then sent to %s", id, r.firstHall, hall)
	}
	if mayRun && !r.mayHaveRun {
		r.mayHaveRun, r.firstHall = true, hall
	}
}

func hasIdempotencyKey(args [][]byte) bool { return string(args[0]) == "Q.DO" }

// Answered checks an answer against the request with this id; id is "" if no complete request is left to be answered.
func (a *Auditor) Answered(id string, kind byte, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[id]
	switch {
	case kind == '-' && len(text) >= 4 && text[:4] == "BUSY":
		a.tally.Refused++
		if r == nil {
			a.reportf("a client received a refusal without a pending request")
		} else if hasIdempotencyKey(r.args) && r.mayHaveRun && !r.duplicated {
			a.reportf("request %s may have run in %s, but was refused with BUSY, which says that it is safe to repeat", id, r.firstHall)
		}
	case kind == '-':
		a.tally.Failed++
	case kind == '$' && r != nil:
		a.tally.Served++
		if _, ok := r.responses[text]; !ok {
			a.reportf("request %s was served %.80q, which no node answered", id, text)
		}
	default:
		a.reportf("request %q got the unexpected answer %c%.80q", id, kind, text)
	}
}

// RateLimitAnswered counts an answer to a gRPC rate limit call.
func (a *Auditor) RateLimitAnswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tally.RateLimitAnswers++
}
