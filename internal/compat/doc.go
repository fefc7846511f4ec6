// Package compat holds no code. Its tests compare the names by which others know this program
// (struct tags of what is sent, configured or stored; environment variables; URL paths; keys and
// metrics in snake case) with those that were saved before its Go names were changed.
package compat
