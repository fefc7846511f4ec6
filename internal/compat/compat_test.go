package compat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// externalName matches literals that are visible outside the program: environment variables, URL paths,
// and keys and metrics in snake case.
var externalName = regexp.MustCompile(`^(EDGE_[A-Z_]+|WELLGW_[A-Z_]+|/[a-zA-Z0-9/_.{}$-]+|[a-z][a-z0-9]*(_[a-z0-9]+)+)$`)

// TestExternalNames compares the program's struct tags and external names with those saved in testdata. It
// guards against renames of Go identifiers that change an external name by accident. If a name is added,
// changed or removed intentionally, change testdata as well.
func TestExternalNames(t *testing.T) {
	tags, names := scan(t, filepath.Join("..", ".."))
	for file, found := range map[string]map[string]int{"struct_tags.txt": tags, "external_names.txt": names} {
		t.Run(file, func(t *testing.T) {
			path := filepath.Join("testdata", file)
			saved, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(strings.Split(strings.TrimSpace(string(saved)), "\n"), lines(found)); diff != "" {
				t.Errorf("%s (- saved, + found):\n%s", path, diff)
			}
		})
	}
}

// lines returns one line for each literal, sorted.
func lines(found map[string]int) []string {
	list := make([]string, 0, len(found))
	for literal := range found {
		list = append(list, literal)
	}
	slices.Sort(list)
	return list
}

// scan collects the struct tags and external names of all Go files below root except tests.
func scan(t *testing.T, root string) (tags, names map[string]int) {
	t.Helper()
	tags, names = map[string]int{}, map[string]int{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		base := entry.Name()
		if entry.IsDir() && (base == "journal" || base == "testdata" || strings.HasPrefix(base, ".") && path != root) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(base, ".go") || strings.HasSuffix(base, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		collect(t, file, tags, names)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tags, names
}

// collect adds the struct tags and external names of one file.
func collect(t *testing.T, file *ast.File, tags, names map[string]int) {
	t.Helper()
	skip := map[*ast.BasicLit]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if n.Tag != nil {
				tags[n.Tag.Value]++
				skip[n.Tag] = true
			}
		case *ast.BasicLit:
			if n.Kind != token.STRING || skip[n] {
				return true
			}
			text, err := strconv.Unquote(n.Value)
			if err != nil {
				t.Fatal(err)
			}
			if externalName.MatchString(text) {
				names[text]++
			}
		}
		return true
	})
}
