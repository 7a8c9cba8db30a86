package main

import (
	"debug/elf"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The operators' full-size load checks redirect the limiter's sockets and clocks through a library that is preloaded into the
// process. That works only if the file that the `build` command produces requests the C library's dynamic loader.
func TestBuildLinksCLibraryDynamically(t *testing.T) {
	built := deployedProgram(t)
	interpreter := built.Section(".interp")
	require.NotNil(t, interpreter, "no .interp section: the program is linked statically")
	loader, err := interpreter.Data()
	require.NoError(t, err)
	require.Contains(t, string(loader), "ld-linux")
	needed, err := built.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, needed, "libc.so.6")
}

// On arm64 the linker rounded the text's address to a multiple of 2 MB, at which the kernel maps the file's text in pieces of 2 MB
// wherever one byte is used: at rest the limiter took 5 MB more.
func TestBuildPlacesTextOffHugePages(t *testing.T) {
	const hugePageBytes = 2 << 20
	executable := 0
	for _, segment := range deployedProgram(t).Progs {
		if segment.Type == elf.PT_LOAD && segment.Flags&elf.PF_X != 0 {
			executable++
			require.NotZero(t, (segment.Vaddr-segment.Off)%hugePageBytes, "%#x", segment.Vaddr)
		}
	}
	require.Positive(t, executable)
}

// deployedProgram builds the program that the `run` command starts as the `build` command does, and opens it.
func deployedProgram(t *testing.T) *elf.File {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	text, err := os.ReadFile(filepath.Join(root, deployFile))
	require.NoError(t, err)
	run := regexp.MustCompile(`(?m)^run = "exec (\S+)"`).FindSubmatch(text)
	require.NotNil(t, run, "the run line of deploy/balancer.toml must end by exec in one program, as in run = \"exec PROGRAM\"")
	file := filepath.Join(t.TempDir(), filepath.Base(string(run[1])))
	command, err := deployBuild(root, file, "./cmd/"+filepath.Base(file))
	require.NoError(t, err)
	shell(t, root, command)
	built, err := elf.Open(file)
	require.NoError(t, err)
	t.Cleanup(func() { _ = built.Close() })
	return built
}

const deployFile = "deploy/balancer.toml"

// deployBuild returns the shell command by which the deploy file builds the project, for other packages and another output.
func deployBuild(root, output, packages string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, deployFile))
	if err != nil {
		return "", err
	}
	build := regexp.MustCompile(`(?m)^build = "([^"]*)"`).FindSubmatch(text)
	if build == nil {
		return "", errors.New("deploy/balancer.toml has no line build = \"...\"")
	}
	return strings.NewReplacer("mkdir -p bin && ", "", "-o bin/ ./cmd/...", "-o "+output+" "+packages).Replace(string(build[1])), nil
}

func shell(t *testing.T, dir, command string) {
	c := exec.Command("sh", "-c", command)
	c.Dir = dir
	out, err := c.CombinedOutput()
	require.NoError(t, err, "%s: %s", command, out)
}
