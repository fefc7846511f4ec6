package main

import (
	"os"
	"path/filepath"
	"testing"
)

// What each command prints on --help: names, flags, arguments and their texts, as in testdata/help.
func TestHelpOfCommands(t *testing.T) {
	for _, command := range []string{"", "serve", "engines", "roles", "peers", "check", "version"} {
		name, args := "wellgw", []string{"--help"}
		if command != "" {
			name, args = command, []string{command, "--help"}
		}
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "help", name+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := program(t, nil, args...).Output()
			if err != nil || string(got) != string(want) {
				t.Errorf("%v: %v, got:\n%s\nwant:\n%s", args, err, got, want)
			}
		})
	}
}
