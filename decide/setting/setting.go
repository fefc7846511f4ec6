// Package setting has the error that decision packages return for settings they can't work with.
package setting

// Error is a setting that can't be used.
type Error struct {
	Field   string // as in the file that operators write
	Problem string
}

func (e Error) Error() string { return e.Field + ": " + e.Problem }

// New returns the error for a field, or for several that are at odds.
func New(field, problem string) Error { return Error{Field: field, Problem: problem} }
