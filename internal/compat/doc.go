// Package compat contains only tests. They compare the program's external names (struct tags of data that
// is sent, configured or stored; environment variables; URL paths; keys and metrics in snake case) with
// the names that were saved before Go identifiers were renamed.
package compat
