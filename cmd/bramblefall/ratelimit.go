package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"bramblefall/internal/crash"
	"bramblefall/internal/loop"
	"bramblefall/internal/operator"
	"bramblefall/internal/plans"
	"bramblefall/internal/ratelimit"
	"bramblefall/internal/xds"
	"bramblefall/logic"
)

// rateLimit is the gRPC front with its configuration and the upstream group that it calls.
type rateLimit struct {
	operator.RateLimit
	front  *ratelimit.Front
	caller *ratelimit.Caller
	group  *xds.Group
}

func newRateLimit(r *operator.RateLimit) *rateLimit {
	if r == nil {
		return nil
	}
	return &rateLimit{RateLimit: *r}
}

// readRateLimit reads the JSON file of --ratelimit. Relative paths in it are resolved against the file's directory.
func readRateLimit(path string) (*operator.RateLimit, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &operator.RateLimit{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields() // a misspelt name must not disable something silently
	if err := dec.Decode(r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Listen == "" {
		return nil, fmt.Errorf("%s: listen is missing, want an address to listen on", path)
	}
	if r.Others != nil {
		for _, file := range []*string{&r.Others.Clusters, &r.Others.Endpoints} {
			if *file != "" && !filepath.IsAbs(*file) {
				*file = filepath.Join(filepath.Dir(path), *file)
			}
		}
	}
	return r, nil
}

// prepare creates the front and the caller of its upstream group, and returns the caller.
func (r *rateLimit) prepare(set logic.Settings, eventLoop *loop.Loop, board *plans.TierStore, callers, endpoints int, mem ratelimit.Memory) loop.Caller {
	r.front = ratelimit.NewFront(set, eventLoop, board, r.Domain, r.Others != nil, callers, mem)
	r.caller = ratelimit.NewCaller(eventLoop.Post, loop.Now, endpoints)
	if r.Others != nil {
		r.group = xds.New(*r.Others, ratelimit.ExternalGroup, set, r.caller, eventLoop.Post)
	}
	return r.caller
}

func (r *rateLimit) start(ctx context.Context) error {
	if r.group != nil {
		if err := r.group.Load(); err != nil {
			return err
		}
		crash.Go(func() { r.group.Run(ctx) })
	}
	address, err := r.front.Listen(r.Listen)
	if err != nil {
		return err
	}
	slog.Info("serving rate limit calls", "listen", address)
	return nil
}

func (r *rateLimit) stop() {
	r.front.Stop()
	r.caller.Close()
}
