package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The fleet bench forbids fork, other programs, io_uring, splice, sendfile and sockets other than TCP and
// UDP over IPv4. This test parses every package of the module that the program imports and checks that
// none uses them: no import of os/exec; io.Copy only into io.Discard or a buffer, so that the ReadFrom
// methods of net/http and net (which use splice and sendfile) are never called; no network other than tcp,
// tcp4, udp and udp4.
func TestNoForkSpliceOrOtherSockets(t *testing.T) {
	const module = "wellgw/"
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	visited := map[string]bool{}
	pending := []string{"cmd/wellgw"}
	for len(pending) > 0 {
		dir := pending[0]
		pending = pending[1:]
		if visited[dir] {
			continue
		}
		visited[dir] = true
		files, _ := filepath.Glob(filepath.Join(root, dir, "*.go"))
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, imp := range f.Imports {
				p, _ := strconv.Unquote(imp.Path.Value)
				switch {
				case p == "os/exec" || p == "golang.org/x/sys/unix":
					t.Errorf("%s imports %s", path, p)
				case strings.HasPrefix(p, module):
					pending = append(pending, strings.TrimPrefix(p, module))
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				name := callName(call.Fun)
				switch {
				case name == "io.Copy" || name == "io.CopyN" || name == "io.CopyBuffer":
					if dst := exprText(call.Args[0]); dst != "io.Discard" && !strings.HasPrefix(dst, "&") {
						t.Errorf("%s: %s into %s may splice or sendfile", path, name, dst)
					}
				case strings.HasSuffix(name, ".ReadFrom") || strings.Contains(name, "Sendfile") || strings.Contains(name, "Splice"):
					t.Errorf("%s: %s", path, name)
				}
				for _, a := range call.Args {
					if lit, ok := a.(*ast.BasicLit); ok && lit.Kind == token.STRING {
						if v, _ := strconv.Unquote(lit.Value); v == "unix" || v == "unixpacket" || v == "tcp6" || v == "udp6" || v == "ip6" {
							t.Errorf("%s: %s names the network %q", path, name, v)
						}
					}
				}
				return true
			})
		}
	}
	if !visited["internal/platform"] || !visited["internal/upstream"] || !visited["routing"] {
		t.Fatalf("packages not checked: %v", visited)
	}
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		t.Fatal(err)
	}
}

func callName(e ast.Expr) string {
	switch f := e.(type) {
	case *ast.SelectorExpr:
		return exprText(f.X) + "." + f.Sel.Name
	case *ast.Ident:
		return f.Name
	}
	return ""
}

func exprText(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return exprText(x.X) + "." + x.Sel.Name
	case *ast.UnaryExpr:
		return x.Op.String() + exprText(x.X)
	case *ast.CallExpr:
		return callName(x.Fun) + "()"
	}
	return "?"
}
