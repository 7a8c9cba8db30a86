package main

import (
	"fmt"
	"math"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// site has the parts of a file of deploy/sites that determine a limiter's settings. Of a range, the first value is used.
type site struct {
	Net struct {
		Zones []string
	}
	Clients struct {
		MaxRetryAfterMS float64 `toml:"max_retry_after_ms"`
	}
	Allow struct {
		Probes, Cancel bool
		SecondCopies   bool `toml:"second_copies"`
		MaxAttempts    int  `toml:"max_attempts"`
	}
	Rules struct {
		DrainGraceMS float64 `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		FallMS       float64 `toml:"fall_ms"`
	}
	Tier []struct {
		Conn struct {
			IdleS            float64 `toml:"idle_s"`
			ConnectTimeoutMS float64 `toml:"connect_timeout_ms"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		AimMS               float64 `toml:"aim_ms"`
		DeadlineMS          float64 `toml:"deadline_ms"`
		WindowMS            float64 `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct{ Name string }
	Fam    struct {
		MostUnits        float64 `toml:"most_units"`
		Slack            float64
		CounterTimeoutMS float64 `toml:"counter_timeout_ms"`
		Plan             []struct {
			Rate, Ceiling []float64
			BurstS        []float64 `toml:"burst_s"`
			Price         float64
			OverCost      float64 `toml:"over_cost"`
			Open          []float64
		}
	}
}

// effects maps the effect of a class in a site file to the semantics in the settings.
var effects = map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}

// settings returns the settings of a single limiter at the site.
func (s site) settings() object {
	set := settings()
	set["zones"] = s.Net.Zones
	caps, extra, rules := set["caps"].(object), set["extra"].(object), set["rules"].(object)
	caps["probes"], caps["cancelling"], caps["parallelTries"] = s.Allow.Probes, s.Allow.Cancel, s.Allow.SecondCopies
	caps["maxAttempts"], caps["maxRetryAfter"] = s.Allow.MaxAttempts, s.Clients.MaxRetryAfterMS/1e3
	caps["connIdle"], caps["connectTimeout"] = s.Tier[0].Conn.IdleS, s.Tier[0].Conn.ConnectTimeoutMS/1e3
	extra["unitsTop"], extra["countLimit"] = s.Fam.MostUnits, s.Fam.CounterTimeoutMS/1e3
	rules["drainGrace"], rules["fall"], rules["fallMultiple"] = s.Rules.DrainGraceMS/1e3, s.Rules.FallMS/1e3, s.Rules.FallMultiple
	var classes, plans []object
	for _, c := range s.Class {
		k := object{"name": c.Name, "semantics": effects[c.Effect], "aim": c.AimMS / 1e3, "deadline": c.DeadlineMS / 1e3,
			"worth": c.Worth, "lateValue": c.LateWorth, "streamed": false}
		if c.Effect == "keyed" {
			k["keyScope"], k["keyTtl"] = c.Group, c.WindowMS/1e3
		}
		classes = append(classes, k)
	}
	for k, p := range s.Fam.Plan {
		depth := max(p.Rate[0]*p.BurstS[0], 4*s.Fam.MostUnits)
		t := object{"name": s.Tenant[k].Name, "perSecond": p.Rate[0], "depth": depth, "concurrency": 0, "worthFactor": p.Price,
			"extraWorth": 0.0, "overCost": p.OverCost, "hardRate": 0.0, "hardBurst": 0.0, "hardSlack": 0.0}
		if len(p.Open) > 0 {
			t["concurrency"] = int(math.Ceil(p.Open[0] * 2))
		}
		if len(p.Ceiling) > 0 {
			t["hardRate"], t["hardBurst"] = p.Rate[0]*p.Ceiling[0], depth*p.Ceiling[0]
			t["hardSlack"] = max(s.Fam.Slack*depth*p.Ceiling[0], s.Fam.MostUnits)
		}
		plans = append(plans, t)
	}
	set["classes"], set["tariffs"] = classes, plans
	return set
}

// The same build serves both deployments of deploy/sites: each class is served under each plan, also with the largest request, and
// a failed try is repeated only where the class allows it.
func TestSiteDeploymentsAreServed(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			var s site
			_, err := toml.DecodeFile(file, &s)
			require.NoError(t, err)
			var failing atomic.Bool
			srv := newServer(t, "s-1", s.Net.Zones[0], func(conn net.Conn, args []string) {
				if failing.Load() {
					replyRaw("-ERR failed\r\n")(conn, args)
				} else {
					replyValue("v")(conn, args)
				}
			})
			l := start(t, fixture{settings: s.settings(), servers: []*server{srv}, counter: newCounter(t)})
			c := l.dial()
			n := 0
			do := func(class int, plan string, units float64) string {
				n++
				k := s.Class[class]
				args := []string{"Q.ASK", fmt.Sprintf("%016x", n), fmt.Sprintf("id%d", n),
					fmt.Sprintf("c=%s,t=%s,d=%g,units=%g,spread=1,first=0", k.Name, plan, k.DeadlineMS, units)}
				if k.Effect != "safe" {
					args[0], args[3] = "Q.DO", args[3]+",k="+strings.Repeat("5c", 8)
					args = append(args, "BODY")
				}
				return c.do(args...)
			}
			for class := range s.Class {
				for _, tenant := range s.Tenant {
					require.Equal(t, "v", do(class, tenant.Name, 1))
					require.Equal(t, "v", do(class, tenant.Name, s.Fam.MostUnits))
				}
			}
			failing.Store(true)
			for class, k := range s.Class {
				before := len(srv.received())
				answer := do(class, s.Tenant[0].Name, 1)
				tries := len(srv.received()) - before
				switch k.Effect {
				case "unsafe":
					require.Equal(t, 1, tries, k.Name)
					require.Equal(t, "-ERR failed", answer)
				case "safe":
					require.Greater(t, tries, 1, k.Name)
					require.Contains(t, answer, "-BUSY")
				default:
					require.NotEqual(t, "v", answer)
				}
			}
		})
	}
}
