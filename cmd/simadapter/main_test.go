package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestProcess runs the built command on a valid and on a malformed batch.
func TestProcess(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simadapter")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	run := func(in string) (string, string, error) {
		var out, errs strings.Builder
		cmd := exec.Command(bin)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &out, &errs
		err := cmd.Run()
		return out.String(), errs.String(), err
	}
	out, errs, err := run(`{"verb":"Turn","time":1,"turn":1}` + "\n" + `{"verb":"EofBatch"}` + "\n")
	if err != nil || out != `{"verb":"End","turn":1}`+"\n" || errs != "" {
		t.Errorf("valid batch: %q, %q, %v", out, errs, err)
	}
	out, errs, err = run("{broken\n")
	if err == nil || out != "" || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, "line 1") {
		t.Errorf("malformed batch: %q, %q, %v", out, errs, err)
	}
}
