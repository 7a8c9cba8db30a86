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

type jsonObject = map[string]any

// Fleet is a set of real limiter processes with stand-ins for nodes, the counter and discovery.
type Fleet struct {
	World          *standin.World
	Limiters       []*standin.Limiter // nil while a limiter is down
	Load           *Load
	dir            string // each limiter has a sub-directory, named by its index
	binary         string
	noOperatorFile bool
	tiers          []logic.Plan
	endedCPU       []time.Duration // by limiter: CPU time of its processes that have ended
}

// BuildLimiter compiles the limiter and its evaluator into dir, from the module in the current directory, and returns the path
// of the limiter's program.
func BuildLimiter(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "bramblefall")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "bramblefall/cmd/bramblefall", "bramblefall/cmd/bramblefall-eval").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the limiter: %w: %s", err, out)
	}
	return path, nil
}

// NewFleet starts the given numbers of limiters and stand-in nodes, a counter and discovery. handle answers the nodes'
// commands: it returns the answer, whether the command may have run, and the delay before the answer. With
// noOperatorFile the limiters get no operator.star, hence no gRPC service and no admin socket.
func NewFleet(binary, dir string, noOperatorFile bool, limiters, nodes int, tiers []logic.Plan, handle func(*standin.Node, [][]byte) ([]byte, bool, time.Duration)) (*Fleet, error) {
	f := &Fleet{World: standin.NewWorld(fault.Plan{}), Load: NewLoad(limiters), dir: dir, binary: binary, noOperatorFile: noOperatorFile, tiers: tiers,
		Limiters: make([]*standin.Limiter, limiters), endedCPU: make([]time.Duration, limiters)}
	for i := range nodes {
		node, err := f.World.AddNode(fmt.Sprintf("s-%d", i), []string{"hall-a", "hall-b"}[i%2])
		if err != nil {
			return nil, err
		}
		node.Handle = handle
	}
	if _, err := f.World.AddCounter(); err != nil {
		return nil, err
	}
	if _, err := f.World.AddDiscovery(); err != nil {
		return nil, err
	}
	for i := range limiters {
		if err := f.StartLimiter(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// AdminSocket returns the path of a limiter's admin socket.
func (f *Fleet) AdminSocket(limiter int) string {
	return filepath.Join(f.dir, strconv.Itoa(limiter), "admin.sock")
}

// StartLimiter starts a limiter's process and points the load at its addresses. The process has no state of an earlier
// one: no state directory is configured.
func (f *Fleet) StartLimiter(index int) error {
	dir := filepath.Join(f.dir, strconv.Itoa(index))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var args []string
	operatorFile := filepath.Join(dir, "operator.star")
	listen, err := loopback.AnyPort() // a new port: clients that still use the previous process's address must reach no process
	if err != nil {
		return err
	}
	operatorScript := fmt.Sprintf(`bramblefall(ratelimit = ratelimit(listen = %q), admin = admin(socket = "admin.sock"), limits = limits(late = 10))`+"\n", listen)
	if !f.noOperatorFile {
		if err := os.WriteFile(operatorFile, []byte(operatorScript), 0o600); err != nil {
			return err
		}
		args = []string{"-operator", operatorFile}
	}
	limiter, err := standin.Start(f.binary, dir, jsonObject{"name": "n" + strconv.Itoa(index), "listen": listen, "seed": fmt.Sprintf("%x", 4711+index),
		"limits": jsonObject{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": LimiterSettings(len(f.Limiters), index, f.tiers),
		"known": f.World.Discovery.List(), "counter": f.World.Counter.Addr, "discovery": f.World.Discovery.Addr}, args...)
	if err != nil {
		return err
	}
	f.Limiters[index] = limiter
	f.Load.SetAddresses(index, limiter.Addr, limiter.GRPCAddr)
	return nil
}

// KillLimiter kills a limiter's process, if it runs.
func (f *Fleet) KillLimiter(index int) {
	if limiter := f.Limiters[index]; limiter != nil {
		f.endedCPU[index] += limiter.CPU()
		f.Limiters[index] = nil
		f.Load.SetAddresses(index, "", "")
		limiter.Kill()
	}
}

// CPUTime returns the CPU time that all limiters have used, including processes that have ended.
func (f *Fleet) CPUTime() (sum time.Duration) {
	for i, limiter := range f.Limiters {
		if sum += f.endedCPU[i]; limiter != nil {
			sum += limiter.CPU()
		}
	}
	return sum
}

// CheckCrashes returns an error if the log of a running limiter shows a crash or if the stand-ins' audit has findings.
func (f *Fleet) CheckCrashes() error {
	for i, limiter := range f.Limiters {
		if limiter != nil && limiter.CrashLog() != "" {
			return fmt.Errorf("limiter %d crashed: %s", i, limiter.CrashLog())
		}
	}
	if findings, n := f.World.Audit.Findings(); n > 0 {
		return errors.New(strings.Join(findings, "\n"))
	}
	return nil
}

// Close kills the limiters and stops the stand-ins.
func (f *Fleet) Close() {
	for i := range f.Limiters {
		f.KillLimiter(i)
	}
	f.World.Close()
}

// LimiterSettings returns the settings of one limiter, the one at index rank, in a small deployment of the given size.
func LimiterSettings(limiters, rank int, tiers []logic.Plan) jsonObject {
	var tariffs []jsonObject
	for _, tier := range tiers {
		tariffs = append(tariffs, jsonObject{"name": tier.Name, "perSecond": tier.Rate, "depth": tier.Burst, "concurrency": tier.Open,
			"worthFactor": tier.Price, "extraWorth": tier.OverWorth, "overCost": tier.OverCost, "hardRate": tier.CeilingRate,
			"hardBurst": tier.CeilingBurst, "hardSlack": tier.CeilingSlack})
	}
	return jsonObject{
		"balancers": limiters, "rank": rank, "zone": rank % 2, "zones": []string{"hall-a", "hall-b"}, "skus": []string{"std-3core"},
		"discovery": "automatic", "resolution": 0.002,
		"caps": jsonObject{"cancelling": true, "connIdle": 15.0, "connectTimeout": 0.25, "maxAttempts": 6, "maxOpen": 20000,
			"maxRetryAfter": 1.0, "peers": false, "probes": true, "retryAfter": true},
		"extra":  jsonObject{"hasCounter": true, "countLimit": 0.03, "settles": false, "meter": 0.0, "unitsTop": 1},
		"report": jsonObject{"fields": []string{"backlog", "utilization", "outstanding"}, "how": "pull"},
		"rules": jsonObject{"askWithin": 10.0, "startCapacity": 0.24, "cold": 18.0, "fall": 3.0, "fallMultiple": 3.0,
			"drainGrace": 0.5},
		"classes": []jsonObject{{"name": "balance-read", "semantics": "free", "aim": 1.5, "deadline": 4.0, "worth": 2.0,
			"lateValue": 0.2, "streamed": false}, {"name": "transfer-post", "semantics": "guarded", "keyScope": "zone",
			"keyTtl": 12.0, "aim": 1.5, "deadline": 6.0, "worth": 5.0, "lateValue": 0.0, "streamed": false}},
		"tariffs": tariffs,
	}
}
