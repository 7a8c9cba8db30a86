// Package schema embeds the published JSON Schema of the operators' file.
package schema

import _ "embed"

// Operator is the JSON Schema against which the result of an operators' file is validated.
//
//go:embed bramblefall.schema.json
var Operator []byte
