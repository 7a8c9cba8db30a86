// Package operator defines the contents of the operators' file and reads it. The file is a Starlark script. A separate
// program, bramblefall-eval, evaluates and checks it (package evaluate); it is installed beside the limiter's binary. So a
// script cannot exhaust the limiter's memory, and the limiter does not link the interpreter and the schema validator.
package operator

import (
	"strings"

	"bramblefall/internal/plans"
	"bramblefall/internal/xds"
)

// File is the evaluated and checked content of the operators' file.
type File struct {
	RateLimit    *RateLimit          `json:"ratelimit,omitempty"` // nil: the gRPC front is disabled
	Admin        *Admin              `json:"admin,omitempty"`     // nil: the admin service is disabled
	StateDir     string              `json:"state_dir,omitempty"` // "": plans and reservations are not kept across restarts
	Counters     []Counter           `json:"counters,omitempty"`  // empty: the one counter that the platform's configuration names
	Limits       plans.Limits        `json:"limits"`
	Plans        []plans.Version     `json:"plans,omitempty"`
	Reservations []plans.Reservation `json:"reservations,omitempty"`
}

// RateLimit configures the gRPC front.
type RateLimit struct {
	Listen string     `json:"listen"`
	Domain string     `json:"domain,omitempty"` // accepted from callers; "": any domain
	Others *xds.Files `json:"others,omitempty"` // external rate limit service that makes the final decision; nil: none
}

// Counter is one of the quota counters over which the counts are distributed by their names (package sharding).
type Counter struct {
	Address string `json:"address"`
}

// CounterAddresses returns the addresses of the counters in the order of the file.
func (f File) CounterAddresses() (all []string) {
	for _, c := range f.Counters {
		all = append(all, c.Address)
	}
	return all
}

// Admin configures the admin service.
type Admin struct {
	Socket string `json:"socket"`
}

// Errors lists every problem that was found in a file, one message each.
type Errors []string

// Error implements error.
func (e Errors) Error() string { return strings.Join(e, "; ") }
