// Command bramblefall-eval evaluates an operators' file for the limiter, within a memory limit, and writes the file's content
// or its errors to standard output as JSON (operator.Outcome).
package main

import (
	"fmt"
	"os"

	"bramblefall/internal/evaluate"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintf(os.Stderr, "bramblefall-eval: got %d arguments, want one file; operators use bramblefall check FILE\n", len(os.Args)-1)
		os.Exit(2)
	}
	if err := evaluate.Main(os.Args[1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bramblefall-eval:", err)
		os.Exit(1)
	}
}
