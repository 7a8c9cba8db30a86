package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"bramblefall/internal/lab"
)

// Guards against lost requests, exceeded ceilings and overdrawn reservations. It runs three real limiters and 200 firms, an
// eighth of them half on gRPC, while plans change and a limiter learns of a change late. A reservation is also drawn while
// a limiter is killed and the counter loses its state. Bounds that depend on the machine's speed are left to
// `bramblelab run plans`.
func TestPlansChangeUnderRealLimiters(t *testing.T) {
	for _, sources := range []string{"../../go.*", "../../logic/*.go", "../../internal/*/*.go", "../bramblefall*/*.go"} {
		files, _ := filepath.Glob(sources)
		for _, f := range files { // go test does not see that the limiter is built from these files; those that the test stats become part of its cache key
			_, _ = os.Stat(f)
		}
	}
	r, err := lab.RunPlans(context.Background(), lab.Options{Seed: 5, Quick: true, Logf: t.Logf})
	require.NoError(t, err)
	require.Empty(t, r.FailedRules)
	require.Len(t, r.Tables, 4)
	t.Log(r.Summary, r.FailedBounds)
}
