// Package scenarios embeds the scenarios that ship with the lab.
package scenarios

import "embed"

// Files holds the Starlark scripts of the scenarios.
//
//go:embed *.star
var Files embed.FS
