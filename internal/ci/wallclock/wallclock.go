// Package wallclock finds code that reads the time without package clock. A time of the wall clock, or
// one without its monotonic reading, jumps when the machine's clock is stepped, so no deadline, window,
// delay or age may depend on it.
package wallclock

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// forbiddenFunctions are the functions of package time that return a time, or compare with one, that does
// not come from the injected monotonic clock.
var forbiddenFunctions = []string{"Now", "Since", "Until", "Unix", "UnixMilli", "UnixMicro", "Date", "Parse",
	"ParseInLocation"}

// forbiddenMethods are the methods of time.Time that return the wall clock time or drop the monotonic reading.
var forbiddenMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In", "AddDate"}

// roundingMethods are the methods of time.Time that drop the monotonic reading and, with the argument 0,
// do nothing else. Only calls with a literal 0 are reported, since other types have methods of the same names.
var roundingMethods = []string{"Round", "Truncate"}

// forbiddenClockCalls are the methods of package clock that read the wall clock.
var forbiddenClockCalls = []string{"Wall"}

// Finding is a place in the source that reads the time in a way that is not allowed.
type Finding struct {
	Position token.Position
	Call     string // as in the source, such as "time.Now"
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s", f.Position, f.Call) }

// Files returns the paths of the Go files below root, except for tests, test data, hidden directories and
// the exceptions, which are directories relative to root.
func Files(root string, exceptions []string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			skip := d.Name() == "testdata" || strings.HasPrefix(d.Name(), ".") && relative != "."
			if skip || slices.Contains(exceptions, filepath.ToSlash(relative)) {
				return filepath.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	return files, err
}

// Check parses a Go file and returns its findings.
func Check(path string) ([]Finding, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	timeNames := importNames(file, "time")
	var findings []Finding
	add := func(selector *ast.SelectorExpr) {
		findings = append(findings, Finding{fileSet.Position(selector.Pos()), sourceName(selector)})
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if isForbidden(n, timeNames) {
				add(n)
			}
		case *ast.CallExpr:
			if selector, ok := n.Fun.(*ast.SelectorExpr); ok && roundsToZero(selector, n.Args) {
				add(selector)
			}
		}
		return true
	})
	return findings, nil
}

// importNames returns the names under which a file imports a package.
func importNames(file *ast.File, path string) []string {
	var names []string
	for _, spec := range file.Imports {
		switch {
		case spec.Path.Value != `"`+path+`"`:
		case spec.Name != nil:
			names = append(names, spec.Name.Name)
		default:
			names = append(names, path)
		}
	}
	return names
}

// isForbidden reports whether a selector names a forbidden function or method. It also finds functions
// that are used as values rather than called.
func isForbidden(selector *ast.SelectorExpr, timeNames []string) bool {
	name := selector.Sel.Name
	if x, ok := selector.X.(*ast.Ident); ok && slices.Contains(timeNames, x.Name) {
		return slices.Contains(forbiddenFunctions, name)
	}
	return slices.Contains(forbiddenMethods, name) || slices.Contains(forbiddenClockCalls, name)
}

// roundsToZero reports whether a call is one of a rounding method with the literal argument 0.
func roundsToZero(selector *ast.SelectorExpr, args []ast.Expr) bool {
	if !slices.Contains(roundingMethods, selector.Sel.Name) || len(args) != 1 {
		return false
	}
	literal, ok := args[0].(*ast.BasicLit)
	return ok && literal.Value == "0"
}

// sourceName returns a selector as it is in the source, without the operand if that is not a plain name.
func sourceName(selector *ast.SelectorExpr) string {
	if x, ok := selector.X.(*ast.Ident); ok {
		return x.Name + "." + selector.Sel.Name
	}
	return "." + selector.Sel.Name
}
