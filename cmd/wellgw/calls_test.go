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

// The fleet bench refuses fork, other programs, io_uring, splice and sendfile, and
// sockets other than TCP and UDP over IPv4. This walks every package of the module
// that the program is built from and shows that none of it takes such a path:
// nothing imports os/exec; io.Copy goes only into io.Discard or a buffer, so
// net/http's and net's ReadFrom (which splice and sendfile) are never reached; no
// network is named but tcp, tcp4, udp and udp4.
func TestNoForkSpliceOrOtherSockets(t *testing.T) {
	const module = "wellgw/"
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	todo := []string{"cmd/wellgw"}
	for len(todo) > 0 {
		dir := todo[0]
		todo = todo[1:]
		if seen[dir] {
			continue
		}
		seen[dir] = true
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
					todo = append(todo, strings.TrimPrefix(p, module))
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
	if !seen["internal/platform"] || !seen["internal/upstream"] || !seen["routing"] {
		t.Fatalf("the walk missed packages: %v", seen)
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
