package config

import (
	"errors"
	"fmt"

	"wellgw/decide/setting"
)

// FieldError is a field of a configuration that can't be used.
type FieldError struct {
	Field   string // as in contracts[0].effect; "" for the whole file
	Problem error
}

// Error words the problem behind the field's name.
func (e FieldError) Error() string {
	if e.Field == "" {
		return e.Problem.Error()
	}
	return e.Field + ": " + e.Problem.Error()
}

// Unwrap returns the problem.
func (e FieldError) Unwrap() error { return e.Problem }

// fieldError returns a FieldError whose problem is worded as by fmt.Errorf.
func fieldError(field, format string, args ...any) error {
	return FieldError{Field: field, Problem: fmt.Errorf(format, args...)}
}

// element names a field of one element of a list; with no field, the element.
func element(list string, index int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, index)
	if field == "" {
		return path
	}
	return path + "." + field
}

// within names a setting that a decision package refused by its place in the file.
func within(section string, err error) error {
	if wrong := (setting.Error{}); errors.As(err, &wrong) {
		return fieldError(section+"."+wrong.Field, "%s", wrong.Problem)
	}
	return FieldError{Field: section, Problem: err}
}
