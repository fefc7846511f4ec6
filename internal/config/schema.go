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

// checkSchema holds an operator's file against the schema that operators are given.
// The error names the first field at fault.
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
		return FieldError{Problem: errors.New(oneLine(err))}
	}
	err = schema.Validate(value)
	if v := (*jsonschema.ValidationError)(nil); errors.As(err, &v) {
		return mistake(v)
	}
	return err
}

// mistake words the first cause of a validation error, in order of the fields.
func mistake(v *jsonschema.ValidationError) error {
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
	unknown := func(e *jsonschema.ValidationError) int {
		if _, is := e.ErrorKind.(*kind.AdditionalProperties); is {
			return 0 // a name that is misspelt makes another one missing
		}
		return 1
	}
	slices.SortStableFunc(leaves, func(a, b *jsonschema.ValidationError) int {
		return cmp.Or(cmp.Compare(unknown(a), unknown(b)), slices.Compare(a.InstanceLocation, b.InstanceLocation))
	})
	e := leaves[0]
	field := fieldName(e.InstanceLocation)
	if extra, is := e.ErrorKind.(*kind.AdditionalProperties); is {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), extra.Properties[0])), "no such field")
	}
	if missing, is := e.ErrorKind.(*kind.Required); is {
		return fieldError(fieldName(append(slices.Clone(e.InstanceLocation), missing.Missing[0])), "missing")
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return FieldError{Field: field, Problem: errors.New(text)}
}

// fieldName words a place in the file as contracts[0].effect.
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
