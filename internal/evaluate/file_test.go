package evaluate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestErrorsNameLineAndField(t *testing.T) {
	for name, c := range map[string]struct{ script, want string }{
		"never called":     {"x = 1\n", "never called"},
		"called twice":     {"bramblefall()\nbramblefall()\n", "o.star:2: bramblefall is called a second time, first in line 1"},
		"a syntax error":   {"x = 1\nbramblefall(\n  plans = [\n", "o.star:4: "},
		"an unknown name":  {"\n\nbramblefall(plans = nothing)\n", "o.star:3: undefined: nothing"},
		"a misspelt field": {"bramblefall(\n plans = [\n  plan(number = 1, tiers = [tier(name = 'a', rat = 3)]),\n ],\n)\n", "o.star:3: plans[0].tiers[0]: additional properties 'rat' not allowed"},
		"a negative rate":  {"def t(r):\n  return tier(name = 'a', rate = r, burst = 5)\n\nbramblefall(plans = [plan(number = 1, tiers = [t(3)]), plan(number = 2, tiers = [t(-3)])])\n", "o.star:2: plans[1].tiers[0].rate: "},
		"not a number":     {"bramblefall(limits = limits(fleet_rate = float('nan')))\n", "o.star:1: limits.fleet_rate: "},
		"too large":        {"bramblefall(limits = limits(fleet_rate = 1e308))\n", "o.star:1: limits.fleet_rate: "},
		"a duplicate tier": {"a = tier(name = 'a', rate = 3, burst = 5)\nbramblefall(plans = [plan(number = 1, tiers = [a, a])])\n", "plans[0].tiers[1].name: \"a\" stands twice"},
		"a small burst":    {"bramblefall(plans = [plan(number = 1, tiers = [\n  tier(name = 'a', rate = 3, burst = 0.5)])])\n", "o.star:2: plans[0].tiers[0].burst: 0.5 is under the largest request"},
		"a low ceiling":    {"bramblefall(plans = [plan(number = 1, tiers = [\n\n  tier(name = 'a', rate = 3, burst = 5, ceiling_rate = 2, ceiling_burst = 9)])])\n", "o.star:3: plans[0].tiers[0].ceiling_rate: 2 is under the quota's rate"},
		"a number twice":   {"p = [tier(name = 'a', rate = 3, burst = 5)]\nbramblefall(plans = [\n plan(number = 1, tiers = p),\n plan(number = 1, tiers = p),\n])\n", "o.star:4: plans[1].number: "},
		"a firm's tier":    {"bramblefall(plans = [plan(number = 1, tiers = [tier(name = 'a', rate = 3, burst = 5)],\n firms = [firm(firm = 'b4', tier = 'b')])])\n", "o.star:2: plans[0].firms[0].tier: unknown tier \"b\""},
		"a bad time":       {"bramblefall(plans = [plan(number = 1, effective = time('tomorrow'), tiers = [])])\n", "is not like 2026-12-31T21:00:00+03:00"},
		"promises":         {"bramblefall(limits = limits(fleet_rate = 10, reserved_share = 0.1), reservations = [\n reservation(id = 'r', firm = 'b4', units = 100, start = 1000, end = 1010)])\n", "o.star:2: reservations[0].units: "},
		"no counter":       {"\nbramblefall(counters = [])\n", "o.star:2: counters: minItems: got 0, want 1"},
		"a counter twice":  {"bramblefall(counters = [\n counter(address = '10.0.0.1:7000'),\n counter(address = '10.0.0.1:7000'),\n])\n", "o.star:3: counters[1].address: \"10.0.0.1:7000\" is already the address of counters[0]"},
		"no port":          {"bramblefall(counters = [\n counter(address = '10.0.0.1')])\n", "o.star:2: counters[0].address: \"10.0.0.1\" is not like 10.0.0.1:7000"},
		"a port too high":  {"bramblefall(counters = [\n counter(address = '10.0.0.1:70000')])\n", "o.star:2: counters[0].address: \"70000\" is not a port from 1 to 65535"},
		"no host":          {"bramblefall(counters = [\n counter(address = ':7000')])\n", "o.star:2: counters[0].address: \"\" is not a host name or IP address"},
		"another form":     {"bramblefall(counters = [\n counter(address = '[::0:1]:7000')])\n", "o.star:2: counters[0].address: \"::0:1\" is not in canonical form, want \"::1\""},
		"a bare address":   {"bramblefall(counters = ['10.0.0.1:7000'])\n", "o.star:1: counters[0]: got string, want object"},
		"an endless loop":  {"def f():\n  for _ in range(1 << 40): pass\nf()\n", "o.star:2: takes more than"},
		"recursion":        {"def f(): f()\nf()\n", "o.star:1: function f called recursively"},
		"itself":           {"l = []\nl.append(l)\nbramblefall(plans = l)\n", "nested more than"},
		"a function":       {"bramblefall(plans = [len])\n", "o.star:1: plans[0]: a builtin_function_or_method is not allowed here"},
		"I/O":              {"load('x.star', 'y')\nbramblefall()\n", "o.star:1: "},
	} {
		_, err := File("/etc/o.star", []byte(c.script))
		require.ErrorContains(t, err, c.want, name)
	}
}

func TestFunctionsAndLoopsBuildFile(t *testing.T) {
	f, err := File("/etc/bramblefall/o.star", []byte(`
def pool(scale):
    return [tier(name = n, rate = scale * r, burst = 5 * scale * r) for n, r in {"associate": 1, "full": 10}.items()]

first = time("2027-01-01T00:00:00+03:00")
bramblefall(
    ratelimit = ratelimit(listen = "127.0.0.1:8081", others = others(cluster = "c", clusters = "xds/c.json")),
    admin = admin(socket = "admin.sock"),
    state_dir = "/var/lib/b",
    counters = [counter(address = "10.0.%d.%d:7000" % (k // 256, k % 256)) for k in range(1024)],
    plans = [plan(number = 1 + k, effective = first + k * day, tiers = pool(1.0 + k)) for k in range(3)],
    reservations = [reservation(id = "r-%d" % k, firm = "b4d65521", units = 10, start = first, end = first + hour) for k in range(2)],
)
`))
	require.NoError(t, err)
	require.Equal(t, "/etc/bramblefall/xds/c.json", f.RateLimit.Others.Clusters)
	require.Equal(t, "/etc/bramblefall/admin.sock", f.Admin.Socket)
	require.Equal(t, "/var/lib/b", f.StateDir)
	require.Len(t, f.Plans, 3)
	require.Equal(t, "10.0.3.255:7000", f.CounterAddresses()[1023])
	require.Equal(t, 30.0, f.Plans[2].Tiers[1].Rate)
	require.Equal(t, "2027-01-02T21:00:00Z", time.Unix(0, int64(f.Plans[2].Effective)).UTC().Format(time.RFC3339))
	require.Equal(t, uint64(0xb4d65521), f.Reservations[1].Firm)
}

func FuzzNoScriptPanics(f *testing.F) {
	f.Add("bramblefall(plans = [plan(number = 1, tiers = [tier(name = 'a', rate = 3, burst = 5)])])")
	f.Add("bramblefall(reservations = [reservation(id = 'r', firm = 'b4', units = 100, start = 1000, end = 1010)])")
	f.Add("def f(): return {1: 2}\nbramblefall(limits = f())")
	f.Fuzz(func(t *testing.T, script string) {
		if file, err := File("o.star", []byte(script)); err == nil {
			for _, v := range file.Plans {
				require.NotEmpty(t, v.Tiers)
			}
		}
	})
}
