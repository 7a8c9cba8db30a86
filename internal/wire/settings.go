package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"bramblefall/logic"
)

// settingsReader reads typed values from path=value pairs and keeps the first error.
type settingsReader struct {
	pairs map[string]string
	err   error
}

func (s *settingsReader) text(key string) string {
	v, ok := s.pairs[key]
	if !ok && s.err == nil {
		s.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (s *settingsReader) invalid(key, v, want string) {
	if s.err == nil {
		s.err = fmt.Errorf("setting %s: got %q, want %s", key, v, want)
	}
}

func (s *settingsReader) number(key string) float64 {
	v := s.text(key)
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.invalid(key, v, "a finite number")
		return 0
	}
	return f
}

func (s *settingsReader) count(key string) int { return toInt(s.number(key)) }

func (s *settingsReader) seconds(key string) time.Duration { return toDuration(s.number(key)) }

func (s *settingsReader) flag(key string) bool {
	v := s.text(key)
	if v != "true" && v != "false" {
		s.invalid(key, v, "true or false")
	}
	return v == "true"
}

// enum returns the index of a value in words.
func (s *settingsReader) enum(key string, words ...string) int {
	v := s.text(key)
	for k, w := range words {
		if v == w {
			return k
		}
	}
	s.invalid(key, v, "one of "+strings.Join(words, ", "))
	return 0
}

// list returns comma-separated values.
func (s *settingsReader) list(key string) []string {
	if v := s.text(key); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// listLength reads the number of objects in a list. Each object has at least one setting, so a number above that of all
// settings is invalid. Without this bound, ParseSettings would loop over a count of almost 1e9 and append as many entries.
func (s *settingsReader) listLength(key string) int {
	n := s.count(key)
	if n < 0 || n > len(s.pairs) {
		s.invalid(key, s.pairs[key], fmt.Sprintf("a count from 0 to %d, the number of settings", len(s.pairs)))
		return 0
	}
	return n
}

// optional returns the text of a setting that only some deployments have, or "" if it is absent.
func (s *settingsReader) optional(key string) string { return s.pairs[key] }

// optionalSeconds reads a duration, or returns 0 if the setting is absent.
func (s *settingsReader) optionalSeconds(key string) time.Duration {
	if s.pairs[key] == "" {
		return 0
	}
	return s.seconds(key)
}

// loadFields are the names of load fields in the settings.
var loadFields = map[string]logic.LoadField{
	"outstanding": logic.Inflight, "backlog": logic.Queue, "utilization": logic.Utilization,
	"recent_ms": logic.ServiceMillis, "throughput": logic.Throughput, "errors_per_s": logic.ErrorRate,
}

// maxGateways bounds the number of limiters in a fleet.
const maxGateways = 1 << 16

// ParseSettings reads the settings of an instance from path=value lines. It ignores keys that it does not know.
func ParseSettings(text string) (logic.Settings, error) {
	s := settingsReader{pairs: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.pairs[key] = value
		}
	}
	out := logic.Settings{
		Gateways: s.count("balancers"), Rank: s.count("rank"), Zone: s.count("zone"), Zones: len(s.list("zones")),
		AskForList: s.enum("discovery", "automatic", "subscribe") == 1, AskWithin: s.seconds("rules.askWithin"),
		HasCounter: s.flag("extra.hasCounter"), Settles: s.flag("extra.settles"), Meter: s.seconds("extra.meter"),
		MostUnits: s.number("extra.unitsTop"),
		Probes:    s.flag("caps.probes"), Cancelling: s.flag("caps.cancelling"), Peers: s.flag("caps.peers"),
		RetryAfter: s.flag("caps.retryAfter"), MaxRetryAfter: s.seconds("caps.maxRetryAfter"),
		MaxAttempts: s.count("caps.maxAttempts"), Resolution: s.seconds("resolution"),
		StartCapacity: s.number("rules.startCapacity"), Cold: s.seconds("rules.cold"), Fall: s.seconds("rules.fall"),
		FallMultiple: s.number("rules.fallMultiple"), DrainGrace: s.seconds("rules.drainGrace"),
	}
	if s.err == nil && (out.Gateways < 1 || out.Gateways > maxGateways) { // each limiter's share is computed with this number
		s.invalid("balancers", s.pairs["balancers"], fmt.Sprintf("a count from 1 to %d", maxGateways))
	}
	out.ZoneNames = s.list("zones")
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
	how := s.enum("report.how", "silent", "pull", "piggyback")
	out.ReportsInAnswers = how == 2
	if how != 0 {
		for _, w := range s.list("report.fields") {
			out.ReportFields = append(out.ReportFields, loadFields[w])
		}
	}
	for k := range s.listLength("classes.count") {
		p := fmt.Sprintf("classes.%d.", k)
		c := logic.Class{Name: s.optional(p + "name"), Aim: s.seconds(p + "aim"), Deadline: s.seconds(p + "deadline"), Worth: s.number(p + "worth"),
			Late: s.number(p + "lateValue"), Streamed: s.flag(p + "streamed")}
		c.Effect = logic.Effect(s.enum(p+"semantics", "free", "guarded", "single_shot"))
		if c.Effect == logic.Keyed {
			c.KeyGroup = logic.Group(s.enum(p+"keyScope", "all", "zone", "cell"))
			c.KeyTTL = s.seconds(p + "keyTtl")
		}
		out.Classes = append(out.Classes, c)
	}
	for k := range s.listLength("tariffs.count") {
		p := fmt.Sprintf("tariffs.%d.", k)
		out.Plans = append(out.Plans, logic.Plan{Name: s.optional(p + "name"), Rate: s.number(p + "perSecond"), Burst: s.number(p + "depth"),
			Open: s.count(p + "concurrency"), Price: s.number(p + "worthFactor"), OverWorth: s.number(p + "extraWorth"),
			OverCost: s.number(p + "overCost"), CeilingRate: s.number(p + "hardRate"),
			CeilingBurst: s.number(p + "hardBurst"), CeilingSlack: s.number(p + "hardSlack")})
	}
	return out, s.err
}
