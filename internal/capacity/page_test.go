package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bramblefall/internal/model"
	"bramblefall/internal/plans"
)

// Every figure of docs/CAPACITY.md follows from the files of figures in the repository, and the limits that it assumes are
// those of the program.
func TestCapacityPageFollowsFromFigures(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	require.NoError(t, err)
	files := Sources(string(page))
	require.NotEmpty(t, files)
	var from []File
	for _, name := range files {
		raw, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
		require.NoError(t, err)
		f := File{Name: name}
		require.NoError(t, json.Unmarshal(raw, &f.Figures), name)
		from = append(from, f)
	}
	review := Check(string(page), from...)
	for _, f := range review.Findings {
		t.Error(f)
	}
	for name, is := range map[string]float64{"book_firms": plans.MaxFirms, "counter_bears": model.BaseScenario().Counter.CallsPerSecond} {
		assert.Equal(t, is, review.Names[name], "%s of the page differs from the program's limit", name)
	}
}
