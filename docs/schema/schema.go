// Package schema holds the published JSON Schema of the operators' file.
package schema

import _ "embed"

// Operator is the schema that the result of an operators' file must meet.
//
//go:embed bramblefall.schema.json
var Operator []byte
