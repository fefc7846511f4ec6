package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A reload of an invalid file must not change the running settings, and the error must name the invalid
// field. A valid file with an additional class and another limit of attempts must be applied.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	env := func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return ""
	}
	if err := os.WriteFile(path, []byte(platformText), 0o600); err != nil {
		t.Fatal(err)
	}
	first, err := ReadPlatform(env)
	if err != nil {
		t.Fatal(err)
	}
	class := `{"name":"c","aim":1000000,"effect":"single_shot","hard_limit":4000000}`
	for _, c := range []struct {
		name, text, want string
	}{
		{"empty", "", "EDGE_CONFIG"},
		{"truncated", platformText[:len(platformText)/2], "EDGE_CONFIG"},
		{"truncated by one byte", platformText[:len(platformText)-1], "EDGE_CONFIG"},
		{"no settings", strings.Replace(platformText, `"settings"`, `"other"`, 1), ""},
		{"a class without its deadline", strings.Replace(platformText, `,"hard_limit":4000000`, ``, 1), "hard_limit: missing"},
		{"a class without its effect", strings.Replace(platformText, `,"effect":"single_shot"`, ``, 1), "effect: missing"},
		{"no attempts", strings.Replace(platformText, `"send_cap":4`, `"other":4`, 1), "MaxAttempts"},
		{"a deadline of 0", strings.Replace(platformText, `"hard_limit":4000000`, `"hard_limit":0`, 1), "hard_limit"},
		{"a negative deadline", strings.Replace(platformText, `"hard_limit":4000000`, `"hard_limit":-1`, 1), "hard_limit"},
		{"0 attempts", strings.Replace(platformText, `"send_cap":4`, `"send_cap":0`, 1), "MaxAttempts"},
		{"negative attempts", strings.Replace(platformText, `"send_cap":4`, `"send_cap":-2`, 1), "MaxAttempts"},
		{"valid: an additional class, 2 attempts", strings.Replace(strings.Replace(platformText, class, class+`,{"name":"d","aim":2000000,"effect":"free","hard_limit":9000000}`, 1), `"send_cap":4`, `"send_cap":2`, 1), "-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			next, err := first.Reload(env)
			if c.want == "-" {
				if err != nil || len(next.Settings().Classes) != 2 || next.Settings().MaxAttempts != 2 {
					t.Fatalf("valid file: error %v, or its settings are not applied", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v, want one that names %q", err, c.want)
			}
			if !strings.Contains(fieldOf(err), strings.TrimSuffix(c.want, ": missing")) {
				t.Fatalf("error %v has field %q, want %q", err, fieldOf(err), c.want)
			}
			if len(first.Settings().Classes) != 1 || first.Settings().MaxAttempts != 4 {
				t.Fatal("the running settings have changed")
			}
		})
	}
}
