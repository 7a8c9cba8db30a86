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

// The page in the repository follows from the figures beside it.
func TestThePage(t *testing.T) {
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
	for name, is := range map[string]float64{"book_firms": plans.MostFirms, "counter_bears": model.Base().Counter.PerSecond} {
		assert.Equal(t, is, review.Names[name], "%s, as the program has it", name)
	}
}
