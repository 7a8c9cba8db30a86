package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/scale"
)

// runCapacity runs the capacity command on the given page and returns its output and error.
func runCapacity(t *testing.T, page string, args ...string) (out string, err error) {
	t.Helper()
	c := capacityCommand()
	var text bytes.Buffer
	c.SetOut(&text)
	c.SetErr(&text)
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SetArgs(append([]string{"--page", page}, args...))
	err = c.Execute()
	return text.String(), err
}

// The page has one row of one role, so the command must fill in its figures and still report that the other roles have
// none.
func TestCapacityRewritesPageAndReportsWhatIsMissing(t *testing.T) {
	dir := t.TempDir()
	figures, page := filepath.Join(dir, "figures.json"), filepath.Join(dir, "CAPACITY.md")
	raw, err := json.Marshal(scale.Figures{Version: 1, Slopes: []scale.Slope{{Role: "limiter", Quantity: "memory", Unit: "bytes",
		Against: "servers", Sizes: []float64{0, 1}, Values: []float64{1e6, 3e6}, Intercept: 1e6, PerUnit: 2e6}}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(figures, raw, 0o600))
	text := "## Limiter\n\n| moment | what | formula | figure | from | budget | verdict | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n" +
		"| peak | memory | `at(\"limiter\", \"memory\", \"servers\", 10)` | ? MB | | ? MB `1e6` | | it |\n"
	require.NoError(t, os.WriteFile(page, []byte(text), 0o600))

	_, err = runCapacity(t, page)
	assert.ErrorContains(t, err, "names no files")

	out, err := runCapacity(t, page, "--from", figures, "--write")
	require.ErrorIs(t, err, errPageIncorrect)
	assert.Contains(t, out, "the role counter has no row")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, "largest missing factor x21: limiter, peak, memory; 0 rows have, 1 lack, 0 have no slope", lines[len(lines)-1])
	rewritten, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Contains(t, string(rewritten), "| 21 MB | measured, extrapolated x10 (servers) | 1 MB `1e6` | lacks x21 | it |")

	_, err = runCapacity(t, page, "--from", filepath.Join(dir, "none.json"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}
