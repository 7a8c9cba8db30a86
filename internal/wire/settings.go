package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bramblefall/logic"
)

// settings reads path=value pairs and remembers the first thing that was wrong.
type settings struct {
	pairs map[string]string
	err   error
}

func (s *settings) text(key string) string {
	v, ok := s.pairs[key]
	if !ok && s.err == nil {
		s.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (s *settings) bad(key, v string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: cannot read %q", key, v)
	}
}

func (s *settings) number(key string) float64 {
	v := s.text(key)
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.bad(key, v)
		return 0
	}
	return f
}

func (s *settings) count(key string) int { return whole(s.number(key)) }

func (s *settings) seconds(key string) time.Duration { return toDuration(s.number(key)) }

func (s *settings) flag(key string) bool {
	v := s.text(key)
	if v != "true" && v != "false" {
		s.bad(key, v)
	}
	return v == "true"
}

func (s *settings) word(key string, words ...string) int {
	v := s.text(key)
	for k, w := range words {
		if v == w {
			return k
		}
	}
	s.bad(key, v)
	return 0
}

func (s *settings) words(key string) []string {
	if v := s.text(key); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

func (s *settings) length(key string) int {
	n := s.count(key)
	if n < 0 || n > len(s.pairs) {
		s.bad(key, s.pairs[key])
		return 0
	}
	return n
}

// optional is the text of a setting that only some deployments have.
func (s *settings) optional(key string) string { return s.pairs[key] }

// optionalSeconds reads a duration that may be absent; absent is 0.
func (s *settings) optionalSeconds(key string) time.Duration {
	if s.pairs[key] == "" {
		return 0
	}
	return s.seconds(key)
}

var loadFields = map[string]logic.LoadField{
	"outstanding": logic.Inflight, "backlog": logic.Queue, "utilization": logic.Utilization,
	"recent_ms": logic.ServiceMillis, "throughput": logic.Throughput, "errors_per_s": logic.ErrorRate,
}

const mostGateways = 1 << 16

// ParseSettings reads the settings of an instance. Keys it does not know are passed over.
func ParseSettings(text string) (logic.Settings, error) {
	s := settings{pairs: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.pairs[key] = value
		}
	}
	out := logic.Settings{
		Gateways: s.count("balancers"), Rank: s.count("rank"), Zone: s.count("zone"), Zones: len(s.words("zones")),
		AskForList: s.word("discovery", "automatic", "subscribe") == 1, AskWithin: s.seconds("rules.askWithin"),
		HasCounter: s.flag("extra.hasCounter"), Settles: s.flag("extra.settles"), Meter: s.seconds("extra.meter"),
		MostUnits: s.number("extra.unitsTop"),
		Probes:    s.flag("caps.probes"), Cancelling: s.flag("caps.cancelling"), Peers: s.flag("caps.peers"),
		RetryAfter: s.flag("caps.retryAfter"), MaxRetryAfter: s.seconds("caps.maxRetryAfter"),
		MaxAttempts: s.count("caps.maxAttempts"), Resolution: s.seconds("resolution"),
		StartCapacity: s.number("rules.startCapacity"), Cold: s.seconds("rules.cold"), Fall: s.seconds("rules.fall"),
		FallMultiple: s.number("rules.fallMultiple"), DrainGrace: s.seconds("rules.drainGrace"),
	}
	if s.err == nil && (out.Gateways < 1 || out.Gateways > mostGateways) { // every share is by this number
		s.bad("balancers", s.pairs["balancers"])
	}
	out.ZoneNames = s.words("zones")
	if kinds := s.optional("skus"); kinds != "" {
		out.KindNames = strings.Split(kinds, ",")
	}
	out.ConnIdle, out.ConnectTimeout = s.optionalSeconds("caps.connIdle"), s.optionalSeconds("caps.connectTimeout")
	if s.optional("caps.maxOpen") != "" {
		out.MaxOpen = s.count("caps.maxOpen")
	}
	if out.HasCounter {
		out.CounterLimit = s.seconds("extra.countLimit")
	}
	if out.Peers {
		out.PeerIntake = s.number("extra.peerIntake")
	}
	how := s.word("report.how", "silent", "pull", "piggyback")
	out.ReportsInAnswers = how == 2
	if how != 0 {
		for _, w := range s.words("report.fields") {
			out.ReportFields = append(out.ReportFields, loadFields[w])
		}
	}
	for k := range s.length("classes.count") {
		p := fmt.Sprintf("classes.%d.", k)
		c := logic.Class{Name: s.optional(p + "name"), Aim: s.seconds(p + "aim"), Deadline: s.seconds(p + "deadline"), Worth: s.number(p + "worth"),
			Late: s.number(p + "lateValue"), Streamed: s.flag(p + "streamed")}
		c.Effect = logic.Effect(s.word(p+"semantics", "free", "guarded", "single_shot"))
		if c.Effect == logic.Keyed {
			c.KeyGroup = logic.Group(s.word(p+"keyScope", "all", "zone", "cell"))
			c.KeyTTL = s.seconds(p + "keyTtl")
		}
		out.Classes = append(out.Classes, c)
	}
	for k := range s.length("tariffs.count") {
		p := fmt.Sprintf("tariffs.%d.", k)
		out.Plans = append(out.Plans, logic.Plan{Name: s.optional(p + "name"), Rate: s.number(p + "perSecond"), Burst: s.number(p + "depth"),
			Open: s.count(p + "concurrency"), Price: s.number(p + "worthFactor"), OverWorth: s.number(p + "extraWorth"),
			OverCost: s.number(p + "overCost"), CeilingRate: s.number(p + "hardRate"),
			CeilingBurst: s.number(p + "hardBurst"), CeilingSlack: s.number(p + "hardSlack")})
	}
	return out, s.err
}
