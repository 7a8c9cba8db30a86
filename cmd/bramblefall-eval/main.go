// Command bramblefall-eval evaluates an operators' file for the limiter beside it, within bounds of memory, and writes
// what the file says, or what is wrong with it, as JSON.
package main

import (
	"fmt"
	"os"

	"bramblefall/internal/evaluate"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "bramblefall-eval: one file is needed; bramblefall check FILE is the command for operators")
		os.Exit(2)
	}
	if err := evaluate.Main(os.Args[1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bramblefall-eval:", err)
		os.Exit(1)
	}
}
