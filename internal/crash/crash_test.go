package crash

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A panic in a goroutine or a timer ends the process with its status and one line that holds the stack.
func TestPanicLeavesOneLineAndEndsTheProgram(t *testing.T) {
	switch os.Getenv("LASTWORDS") {
	case "goroutine":
		Go(func() { panic("no such plan\nat all") })
		select {}
	case "timer":
		AfterFunc(1, func() { panic("no such plan\nat all") })
		select {}
	}
	for _, where := range []string{"goroutine", "timer"} {
		cmd := exec.Command(os.Args[0], "-test.run", "TestPanicLeavesOneLine")
		cmd.Env = append(os.Environ(), "LASTWORDS="+where)
		out, err := cmd.CombinedOutput()
		var ended *exec.ExitError
		require.ErrorAs(t, err, &ended, where)
		require.Equal(t, Status, ended.ExitCode(), where)
		require.Equal(t, 1, strings.Count(string(out), "\n"), "%s: %s", where, out)
		require.Contains(t, string(out), `no such plan\nat all`)
		require.Contains(t, string(out), "crash_test.go")
	}
}

// Every goroutine and timer of the limiter is guarded, and no package but socket touches a netpoll connection.
func TestEveryGoroutineIsGuardedAndEveryWriteGoesThroughSocket(t *testing.T) {
	seen := 0
	// The packages of the project's own that the limiter links: stand-ins and the lab are none of them.
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}} {{.Dir}}{{end}}", "bramblefall/cmd/bramblefall").Output()
	require.NoError(t, err)
	for _, line := range strings.Split(string(out), "\n") {
		name, root, _ := strings.Cut(line, " ")
		if !strings.HasPrefix(name, "bramblefall/") {
			continue
		}
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			dir := filepath.Base(filepath.Dir(path))
			if err == nil && d.IsDir() && path != root {
				return fs.SkipDir
			}
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
				strings.HasSuffix(path, ".pb.go") {
				return err
			}
			seen++
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			netpoll := slices.ContainsFunc(f.Imports, func(i *ast.ImportSpec) bool { return strings.Contains(i.Path.Value, "/netpoll") })
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					require.Equal(t, "crash", dir, "a bare go statement: %s", files.Position(n.Pos()))
				case *ast.SelectorExpr:
					x, _ := n.X.(*ast.Ident)
					if x != nil && x.Name == "time" && n.Sel.Name == "AfterFunc" {
						require.Equal(t, "crash", dir, "a bare timer: %s", files.Position(n.Pos()))
					}
					if netpoll && (n.Sel.Name == "Writer" || n.Sel.Name == "Reader") {
						require.Equal(t, "socket", dir, "netpoll's buffers: %s", files.Position(n.Pos()))
					}
				}
				return true
			})
			return nil
		}))
	}
	require.Greater(t, seen, 10)
}
