// Package operator holds what the operators' own file says. The file is a Starlark script; the program bramblefall-eval,
// which stands beside the limiter's, evaluates and checks it (package evaluate). So no script can take the limiter's
// memory, and the limiter does not carry what that needs.
package operator

import (
	"strings"

	"bramblefall/internal/plans"
	"bramblefall/internal/xds"
)

// File is what the operators' file says.
type File struct {
	RateLimit    *RateLimit          `json:"ratelimit,omitempty"` // nil: the gRPC front is off
	Admin        *Admin              `json:"admin,omitempty"`     // nil: the admin service is off
	StateDir     string              `json:"state_dir,omitempty"` // "": nothing survives a restart
	Counters     []Counter           `json:"counters,omitempty"`  // none: the platform's one
	Limits       plans.Limits        `json:"limits"`
	Plans        []plans.Version     `json:"plans,omitempty"`
	Reservations []plans.Reservation `json:"reservations,omitempty"`
}

// RateLimit is the gRPC front.
type RateLimit struct {
	Listen string     `json:"listen"`
	Domain string     `json:"domain,omitempty"` // of the callers; "": any
	Others *xds.Files `json:"others,omitempty"` // a rate limit service of others that has the last word; nil: none
}

// Counter is one of the quota counters that names are dealt out to.
type Counter struct {
	Address string `json:"address"`
}

// Addresses is where the counters are.
func (f File) Addresses() (all []string) {
	for _, c := range f.Counters {
		all = append(all, c.Address)
	}
	return all
}

// Admin is the admin service.
type Admin struct {
	Socket string `json:"socket"`
}

// Errors is all that is wrong with a file.
type Errors []string

// Error implements error.
func (e Errors) Error() string { return strings.Join(e, "; ") }
