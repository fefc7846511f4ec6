package routing

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Size limits that keep files and functions readable.
const (
	maxFileLines     = 400
	maxFunctionLines = 50
	maxColumns       = 110
)

func TestFilesAndFunctionsAreShort(t *testing.T) {
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		checked++
		checkLines(t, name)
		checkFunctions(t, name)
	}
	if checked < 5 {
		t.Errorf("only %d source files found, want at least 5", checked)
	}
}

// checkFunctions checks the length of the functions of one file.
func checkFunctions(t *testing.T, name string) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, decl := range file.Decls {
		f, is := decl.(*ast.FuncDecl)
		if !is {
			continue
		}
		lines := set.Position(f.End()).Line - set.Position(f.Pos()).Line + 1
		if lines > maxFunctionLines {
			t.Errorf("%s: function %s has %d lines, want %d at most", name, f.Name.Name, lines, maxFunctionLines)
		}
	}
}

// checkLines checks the number of lines of one file and their lengths.
func checkLines(t *testing.T, name string) {
	t.Helper()
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	if len(lines) > maxFileLines {
		t.Errorf("%s has %d lines, want %d at most", name, len(lines), maxFileLines)
	}
	for i, line := range lines {
		if len([]rune(line)) > maxColumns {
			t.Errorf("%s:%d has more than %d columns", name, i+1, maxColumns)
		}
	}
}
