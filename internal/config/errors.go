package config

import (
	"errors"
	"fmt"

	"wellgw/decide/setting"
)

// FieldError is an invalid or missing field of a configuration.
type FieldError struct {
	Field   string // for example contracts[0].effect; "" for the whole file
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

// elementPath returns the path of a field of a list's element, or of the element itself if field is "".
func elementPath(list string, index int, field string) string {
	path := fmt.Sprintf("%s[%d]", list, index)
	if field == "" {
		return path
	}
	return path + "." + field
}

// inSection converts an error about a decision package's settings to one that names the section of the file
// that has the setting.
func inSection(section string, err error) error {
	if settingErr := (setting.Error{}); errors.As(err, &settingErr) {
		return fieldError(section+"."+settingErr.Field, "%s", settingErr.Problem)
	}
	return FieldError{Field: section, Problem: err}
}
