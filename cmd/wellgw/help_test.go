package main

import (
	"os"
	"path/filepath"
	"testing"
)

// The --help output of each command, with its names, flags, arguments and texts, equals the file in
// testdata/help.
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
			got, err := programCommand(t, nil, args...).Output()
			if err != nil || string(got) != string(want) {
				t.Errorf("%v: %v, got:\n%s\nwant:\n%s", args, err, got, want)
			}
		})
	}
}
