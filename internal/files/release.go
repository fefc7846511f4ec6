//go:build !faultinject

package files

import "io"

func faultyReader(r io.Reader) io.Reader { return r }

func faultBeforeWrite(string, []byte) error { return nil }
