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

// checkSchema validates an operator's file by the published schema. The error names the first
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

// schemaError returns the first cause of a validation error, in order of the fields.
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
		if _, is := e.ErrorKind.(*kind.AdditionalProperties); is {
			return 0 // before a missing field, which may be this one misspelt
		}
		return 1
	}
	slices.SortStableFunc(leaves, func(a, b *jsonschema.ValidationError) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), slices.Compare(a.InstanceLocation, b.InstanceLocation))
	})
	e := leaves[0]
	field := fieldName(e.InstanceLocation)
	if extra, is := e.ErrorKind.(*kind.AdditionalProperties); is {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), extra.Properties[0])), "no such field")
	}
	if missing, is := e.ErrorKind.(*kind.Required); is {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), missing.Missing[0])), "missing")
	}
	return fieldError(field, "%s", e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
}

// fieldName returns the path of a field, as in contracts[0].effect.
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
