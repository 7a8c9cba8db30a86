package crash

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A panic in a goroutine or a timer ends the process with ExitStatus and one log line that holds the value and the stack.
// The test runs itself as a child process, with LASTWORDS naming where to panic.
func TestPanicLogsOneLineAndExits(t *testing.T) {
	switch os.Getenv("LASTWORDS") {
	case "goroutine":
		Go(func() { panic("no such plan\nat all") })
		select {}
	case "timer":
		AfterFunc(1, func() { panic("no such plan\nat all") })
		select {}
	}
	for _, source := range []string{"goroutine", "timer"} {
		cmd := exec.Command(os.Args[0], "-test.run", "TestPanicLogsOneLine")
		cmd.Env = append(os.Environ(), "LASTWORDS="+source)
		out, err := cmd.CombinedOutput()
		var exitErr *exec.ExitError
		require.ErrorAs(t, err, &exitErr, source)
		require.Equal(t, ExitStatus, exitErr.ExitCode(), source)
		require.Equal(t, 1, strings.Count(string(out), "\n"), "%s: %s", source, out)
		require.Contains(t, string(out), `no such plan\nat all`)
		require.Contains(t, string(out), "crash_test.go")
	}
}

// Every goroutine and timer of the limiter is started through crash, and only package socket, and discovery's monitor of its
// connection, use the descriptors of connections.
func TestEveryGoroutineIsGuardedAndEveryWriteGoesThroughSocket(t *testing.T) {
	filesChecked := 0
	// The project's packages that the limiter links. The stand-ins and the lab are not among them.
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
			filesChecked++
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					require.Equal(t, "crash", dir, "go statement outside of package crash: %s", files.Position(n.Pos()))
				case *ast.SelectorExpr:
					x, _ := n.X.(*ast.Ident)
					if x != nil && x.Name == "time" && n.Sel.Name == "AfterFunc" {
						require.Equal(t, "crash", dir, "time.AfterFunc outside of package crash: %s", files.Position(n.Pos()))
					}
					if n.Sel.Name == "SyscallConn" {
						require.Contains(t, []string{"socket", "discovery"}, dir, "a connection's descriptor outside of package socket: %s", files.Position(n.Pos()))
					}
				}
				return true
			})
			return nil
		}))
	}
	require.Greater(t, filesChecked, 10)
}
