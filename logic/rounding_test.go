package logic

import (
	"os"
	"os/exec"
	"regexp"
	"testing"
)

// On arm64 the compiler fused products and sums of the module, and decisions differed from those on x86-64. Checks that nothing in
// the compiled module multiplies and adds with one rounding, on whatever machine the test runs.
func TestDecisionsDoNotDependOnFusedArithmetic(t *testing.T) {
	build := exec.Command("go", "build", "-gcflags=-S", ".")
	build.Env = append(os.Environ(), "GOARCH=arm64", "GOOS=linux", "CGO_ENABLED=0", "GOFLAGS=-buildvcs=false")
	assembly, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, assembly)
	}
	if !regexp.MustCompile(`\tFMULD\t`).Match(assembly) {
		t.Fatal("the listing has no arithmetic, so it proves nothing")
	}
	for _, line := range regexp.MustCompile(`(?m)^.*\tFN?M(?:ADD|SUB)[DS]\t.*$`).FindAll(assembly, -1) {
		t.Errorf("%s", line)
	}
}
