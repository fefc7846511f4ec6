package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"wellgw/deploy"
)

const schemaName = "operator.schema.json"

// checkSchema validates an operator's file against the published JSON schema. An error names the first
// invalid field.
func checkSchema(raw []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	schema, err := c.Compile(schemaName)
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return fieldError("", "%s", oneLine(err))
	}
	err = schema.Validate(value)
	if v := (*jsonschema.ValidationError)(nil); errors.As(err, &v) {
		return schemaError(v)
	}
	return err
}

// schemaError returns the first cause of a validation error, in the order of the fields.
func schemaError(v *jsonschema.ValidationError) error {
	var leaves []*jsonschema.ValidationError
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			leaves = append(leaves, e)
		}
		for _, c := range e.Causes {
			walk(c)
		}
	}
	walk(v)
	rank := func(e *jsonschema.ValidationError) int {
		if _, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
			return 0 // sorts before a missing field: the unknown field may be its misspelling
		}
		return 1
	}
	slices.SortStableFunc(leaves, func(a, b *jsonschema.ValidationError) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), slices.Compare(a.InstanceLocation, b.InstanceLocation))
	})
	e := leaves[0]
	field := fieldName(e.InstanceLocation)
	if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), unknown.Properties[0])), "no such field")
	}
	if missing, ok := e.ErrorKind.(*kind.Required); ok {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), missing.Missing[0])), "missing")
	}
	return fieldError(field, "%s", e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// fieldName formats the path of a field, for example contracts[0].effect.
func fieldName(path []string) string {
	var b strings.Builder
	for _, p := range path {
		if _, err := strconv.Atoi(p); err == nil {
			b.WriteString("[" + p + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	return b.String()
}
