package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"bramblefall/internal/fault"
	"bramblefall/internal/loopback"
	"bramblefall/internal/standin"
	"bramblefall/logic"
)

type object = map[string]any

// Fleet is real limiters in a world of stand-ins.
type Fleet struct {
	World    *standin.World
	Limiters []*standin.Limiter // nil: down
	Load     *Load
	dir      string
	binary   string
	plain    bool // without an operators' file
	tiers    []logic.Plan
	gone     []time.Duration // CPU of processes that have ended
}

// Build compiles the limiter from the module that the lab is started in.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "bramblefall")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "bramblefall/cmd/bramblefall", "bramblefall/cmd/bramblefall-eval").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the limiter: %w: %s", err, out)
	}
	return path, nil
}

// NewFleet starts so many limiters, with nodes that answer after a moment, a counter and discovery.
func NewFleet(binary, dir string, plain bool, limiters, nodes int, tiers []logic.Plan, handle func(*standin.Node, [][]byte) ([]byte, bool, time.Duration)) (*Fleet, error) {
	f := &Fleet{World: standin.NewWorld(fault.Plan{}), Load: NewLoad(limiters), dir: dir, binary: binary, plain: plain, tiers: tiers,
		Limiters: make([]*standin.Limiter, limiters), gone: make([]time.Duration, limiters)}
	for k := range nodes {
		n, err := f.World.AddNode(fmt.Sprintf("s-%d", k), []string{"hall-a", "hall-b"}[k%2])
		if err != nil {
			return nil, err
		}
		n.Handle = handle
	}
	if _, err := f.World.AddCounter(); err != nil {
		return nil, err
	}
	if _, err := f.World.AddDiscovery(); err != nil {
		return nil, err
	}
	for k := range limiters {
		if err := f.Start(k); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Socket is the path of a limiter's admin socket.
func (f *Fleet) Socket(k int) string { return filepath.Join(f.dir, strconv.Itoa(k), "admin.sock") }

// Start starts a limiter, which begins from nothing.
func (f *Fleet) Start(k int) error {
	dir := filepath.Join(f.dir, strconv.Itoa(k))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var args []string
	file := filepath.Join(dir, "operator.star")
	listen, err := loopback.AnyPort() // a new one: clients that still ask the last process's address reach nobody
	if err != nil {
		return err
	}
	script := fmt.Sprintf(`bramblefall(ratelimit = ratelimit(listen = %q), admin = admin(socket = "admin.sock"), limits = limits(late = 10))`+"\n", listen)
	if !f.plain {
		if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
			return err
		}
		args = []string{"-operator", file}
	}
	l, err := standin.Start(f.binary, dir, object{"name": "n" + strconv.Itoa(k), "listen": listen, "seed": fmt.Sprintf("%x", 4711+k),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": Settings(len(f.Limiters), k, f.tiers),
		"known": f.World.Discovery.List(), "counter": f.World.Counter.Addr, "discovery": f.World.Discovery.Addr}, args...)
	if err != nil {
		return err
	}
	f.Limiters[k] = l
	f.Load.Point(k, l.Addr, l.GRPCAddr)
	return nil
}

// Kill ends a limiter at once.
func (f *Fleet) Kill(k int) {
	if l := f.Limiters[k]; l != nil {
		f.gone[k] += l.CPU()
		f.Limiters[k] = nil
		f.Load.Point(k, "", "")
		l.Kill()
	}
}

// CPU is what all limiters have used.
func (f *Fleet) CPU() (sum time.Duration) {
	for k, l := range f.Limiters {
		if sum += f.gone[k]; l != nil {
			sum += l.CPU()
		}
	}
	return sum
}

// Crash tells of a limiter that crashed.
func (f *Fleet) Crash() error {
	for k, l := range f.Limiters {
		if l != nil && l.Crashed() != "" {
			return fmt.Errorf("limiter %d crashed: %s", k, l.Crashed())
		}
	}
	if list, n := f.World.Audit.Findings(); n > 0 {
		return errors.New(strings.Join(list, "\n"))
	}
	return nil
}

// Close ends everything.
func (f *Fleet) Close() {
	for k := range f.Limiters {
		f.Kill(k)
	}
	f.World.Close()
}

// Settings are those of a small deployment of so many limiters.
func Settings(limiters, rank int, tiers []logic.Plan) object {
	var tariffs []object
	for _, p := range tiers {
		tariffs = append(tariffs, object{"name": p.Name, "perSecond": p.Rate, "depth": p.Burst, "concurrency": p.Open,
			"worthFactor": p.Price, "extraWorth": p.OverWorth, "overCost": p.OverCost, "hardRate": p.CeilingRate,
			"hardBurst": p.CeilingBurst, "hardSlack": p.CeilingSlack})
	}
	return object{
		"balancers": limiters, "rank": rank, "zone": rank % 2, "zones": []string{"hall-a", "hall-b"}, "skus": []string{"std-3core"},
		"discovery": "automatic", "resolution": 0.002,
		"caps": object{"cancelling": true, "connIdle": 15.0, "connectTimeout": 0.25, "maxAttempts": 6, "maxOpen": 20000,
			"maxRetryAfter": 1.0, "peers": false, "probes": true, "retryAfter": true},
		"extra":  object{"hasCounter": true, "countLimit": 0.03, "settles": false, "meter": 0.0, "unitsTop": 1},
		"report": object{"fields": []string{"backlog", "utilization", "outstanding"}, "how": "pull"},
		"rules": object{"askWithin": 10.0, "startCapacity": 0.24, "cold": 18.0, "fall": 3.0, "fallMultiple": 3.0,
			"drainGrace": 0.5},
		"classes": []object{{"name": "balance-read", "semantics": "free", "aim": 1.5, "deadline": 4.0, "worth": 2.0,
			"lateValue": 0.2, "streamed": false}, {"name": "transfer-post", "semantics": "guarded", "keyScope": "zone",
			"keyTtl": 12.0, "aim": 1.5, "deadline": 6.0, "worth": 5.0, "lateValue": 0.0, "streamed": false}},
		"tariffs": tariffs,
	}
}
