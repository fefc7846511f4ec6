// Package deploy holds what operators are given, as far as the program reads it too.
package deploy

import _ "embed"

// Schema is the JSON schema of an operator's file.
//
//go:embed operator.schema.json
var Schema []byte
