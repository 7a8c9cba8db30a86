// Package scenarios holds the scenarios that the lab ships.
package scenarios

import "embed"

// Files are the scenarios' scripts.
//
//go:embed *.star
var Files embed.FS
