package config

import (
	"errors"
	"fmt"

	"wellgw/decide/setting"
)

// FieldError is an invalid or missing field of a configuration.
type FieldError struct {
	Field   string // as in contracts[0].effect; "" for the whole file
	Problem error
}

// Error returns the field's name and the problem.
func (e FieldError) Error() string {
	if e.Field == "" {
		return e.Problem.Error()
	}
	return e.Field + ": " + e.Problem.Error()
}

// Unwrap returns the problem.
func (e FieldError) Unwrap() error { return e.Problem }

// fieldError returns a FieldError whose problem is formatted as by fmt.Errorf.
func fieldError(field, format string, args ...any) error {
	return FieldError{Field: field, Problem: fmt.Errorf(format, args...)}
}

// elementPath returns the path of a field of one element of a list; with no field, of the element.
func elementPath(list string, index int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, index)
	if field == "" {
		return path
	}
	return path + "." + field
}

// inSection returns an error of a decision package's settings with the section of the file that
// the setting stands in.
func inSection(section string, err error) error {
	if wrong := (setting.Error{}); errors.As(err, &wrong) {
		return fieldError(section+"."+wrong.Field, "%s", wrong.Problem)
	}
	return FieldError{Field: section, Problem: err}
}
