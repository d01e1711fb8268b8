package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// repoRoot is the root of the repository, relative to the directory of this package.
const repoRoot = "../.."

// docPages are the pages that must use the current names, as patterns relative to
// repoRoot. Design notes, incidents and the journal are historical records and are
// not checked.
var docPages = []string{
	"README.md", "docs/GLOSSARY.md", "docs/STYLE.md", "docs/ARCHITECTURE.md", "docs/OPERATIONS.md",
	"docs/API.md", "docs/CONFIG.md", "docs/PROMISES.md", "docs/CAPACITY.md", "docs/PERFORMANCE.md",
	"docs/ops/*.md", "docs/platform/*.md",
}

var (
	testWord = regexp.MustCompile(`\bTest[A-Z]\w*`)
	codeSpan = regexp.MustCompile("`([^`]+)`")
	// goName matches pkg.Name, pkg.Type.Member and Type.Member, but not ID.SECRET,
	// the form of an API key.
	goName     = regexp.MustCompile(`^([a-z]\w*|[A-Z]\w*[a-z]\w*)(\.[A-Z]\w*){1,2}$`)
	treeFolder = regexp.MustCompile(`^(internal|platform|cmd|deploy|docs)/`)
)

// sourceNames holds the names declared in the Go files of the tree.
type sourceNames struct {
	tests map[string]bool // Test functions
	decls map[string]bool // package.Name, package.Type.Member and Type.Member
}

// TestDocNames checks that the tests, Go identifiers and paths named in the
// documents exist. It is in a package of the root module because the go command
// ignores files outside a test's module when it decides whether to use a cached
// result, and the pages belong to the root module.
func TestDocNames(t *testing.T) {
	names := readSourceNames(t)
	pages := 0
	checked := 0
	for _, pattern := range docPages {
		files, err := filepath.Glob(filepath.Join(repoRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) == 0 {
			t.Errorf("no page matches %s", pattern)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			page, err := filepath.Rel(repoRoot, file)
			if err != nil {
				t.Fatal(err)
			}
			problems, n := checkPage(filepath.ToSlash(page), string(text), names)
			for _, p := range problems {
				t.Error(p)
			}
			pages++
			checked += n
		}
	}
	if checked < 30 {
		t.Errorf("only %d names found on %d pages, so the check has missed most of them", checked, pages)
	}

	// The check must find each kind of unknown name, also in a span over two lines.
	text := "`fault.Nothing` and\nTestNothing, `internal/nothing`\n`fault.Error.Nothing`, `see\ndocs/nothing.md`, `Planner.Nothing`\n" +
		"`fault.Error`, `internal/base`, `./cmd/...`, TestDocNames, `Planner.Plan`, `a.ini`\n"
	got, n := checkPage("page", text, names)
	want := []string{
		"page:1: fault.Nothing is not declared in the code",
		"page:2: no test TestNothing",
		"page:2: internal/nothing does not exist",
		"page:3: fault.Error.Nothing is not declared in the code",
		"page:4: docs/nothing.md does not exist",
		"page:4: Planner.Nothing is not declared in the code",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) || n != 11 {
		t.Errorf("of a page with unknown names: %d names checked\ngot  %q\nwant %q", n, got, want)
	}
}

// checkPage returns a message for each name on the page that does not exist, and
// the number of names that it checked.
func checkPage(page, text string, names sourceNames) (problems []string, checked int) {
	report := func(offset int, format string, args ...any) {
		line := 1 + strings.Count(text[:offset], "\n")
		problems = append(problems, fmt.Sprintf("%s:%d: ", page, line)+fmt.Sprintf(format, args...))
	}
	for _, loc := range testWord.FindAllStringIndex(text, -1) {
		checked++
		if name := text[loc[0]:loc[1]]; !names.tests[name] {
			report(loc[0], "no test %s", name)
		}
	}
	if strings.Count(text, "`")%2 != 0 {
		report(len(text), "odd number of backquotes on the page")
	}
	for _, loc := range codeSpan.FindAllStringSubmatchIndex(text, -1) {
		span := text[loc[2]:loc[3]]
		offset := loc[2]
		for _, field := range strings.Fields(span) {
			offset += strings.Index(text[offset:], field)
			at := offset
			offset += len(field)
			word := strings.Trim(strings.TrimSuffix(field, "()"), ",;:()")
			word = strings.TrimSuffix(strings.TrimPrefix(word, "./"), "...")
			switch {
			case treeFolder.MatchString(word):
				checked++
				if _, err := os.Stat(filepath.Join(repoRoot, word)); err != nil {
					report(at, "%s does not exist", word)
				}
			case goName.MatchString(word):
				checked++
				if !names.decls[word] {
					report(at, "%s is not declared in the code", word)
				}
			}
		}
	}
	return problems, checked
}

// readSourceNames reads the declarations of all Go files in the tree.
func readSourceNames(t *testing.T) sourceNames {
	t.Helper()
	names := sourceNames{tests: map[string]bool{}, decls: map[string]bool{}}
	fset := token.NewFileSet()
	err := filepath.WalkDir(repoRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != repoRoot && (strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata") {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names.addFile(file, strings.HasSuffix(path, "_test.go"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// addFile adds the declarations of one file.
func (s sourceNames) addFile(file *ast.File, isTest bool) {
	pkg := file.Name.Name
	member := func(typ, name string) {
		s.decls[pkg+"."+typ+"."+name] = true
		s.decls[typ+"."+name] = true
	}
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			switch {
			case d.Recv != nil:
				member(typeName(d.Recv.List[0].Type), d.Name.Name)
			case isTest && strings.HasPrefix(d.Name.Name, "Test"):
				s.tests[d.Name.Name] = true
			default:
				s.decls[pkg+"."+d.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch sp := spec.(type) {
				case *ast.ValueSpec:
					for _, name := range sp.Names {
						s.decls[pkg+"."+name.Name] = true
					}
				case *ast.TypeSpec:
					s.decls[pkg+"."+sp.Name.Name] = true
					var fields *ast.FieldList
					switch typ := sp.Type.(type) {
					case *ast.StructType:
						fields = typ.Fields
					case *ast.InterfaceType:
						fields = typ.Methods
					default:
						continue
					}
					for _, f := range fields.List {
						for _, name := range f.Names {
							member(sp.Name.Name, name.Name)
						}
					}
				}
			}
		}
	}
}

// typeName returns the name of a receiver's type.
func typeName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.IndexListExpr:
		return typeName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}
