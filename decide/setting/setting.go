// Package setting defines the error that the decision packages return for invalid settings.
package setting

// Error describes an invalid setting.
type Error struct {
	Field   string // name of the field in the operator's file
	Problem string
}

func (e Error) Error() string { return e.Field + ": " + e.Problem }

// New returns the error for an invalid field, or for several fields that contradict each other.
func New(field, problem string) Error { return Error{Field: field, Problem: problem} }
