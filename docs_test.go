package trefoillanding

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// documentedName matches a package and the identifier after it in a code span.
var documentedName = regexp.MustCompile(`\b(tl[a-z]+)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)`)

// declaredNames returns the top-level names, methods and fields of each package,
// as package.Name and package.Type.Member.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	files, err := filepath.Glob("*/tl*/*.go")
	require.NoError(t, err)
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		names[f.Name.Name] = true
		for _, d := range f.Decls {
			addNames(names, f.Name.Name+".", d)
		}
	}
	require.Greater(t, len(names), 1000, "the files of the repository were not found")
	return names
}

// addNames adds the names that a declaration declares.
func addNames(names map[string]bool, prefix string, d ast.Decl) {
	if f, ok := d.(*ast.FuncDecl); ok {
		names[prefix+receiverPrefix(f)+f.Name.Name] = true
		return
	}
	for _, s := range d.(*ast.GenDecl).Specs {
		switch s := s.(type) {
		case *ast.ValueSpec:
			for _, n := range s.Names {
				names[prefix+n.Name] = true
			}
		case *ast.TypeSpec:
			names[prefix+s.Name.Name] = true
			if v, ok := s.Type.(*ast.StructType); ok {
				addFields(names, prefix+s.Name.Name+".", v)
			}
		}
	}
}

func addFields(names map[string]bool, prefix string, s *ast.StructType) {
	for _, f := range s.Fields.List {
		for _, n := range f.Names {
			names[prefix+n.Name] = true
		}
	}
}

// receiverPrefix returns a method's type and a dot, or nothing for a function.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	var name string
	ast.Inspect(f.Recv.List[0].Type, func(n ast.Node) bool {
		if i, ok := n.(*ast.Ident); ok && name == "" {
			name = i.Name
		}
		return name == ""
	})
	return name + "."
}

func TestDocumentationNamesWhatExists(t *testing.T) {
	names := declaredNames(t)
	pages, err := filepath.Glob("docs/*.md")
	require.NoError(t, err)
	pages = append(pages, "README.md", "CONTRIBUTING.md")
	checked := 0
	for _, page := range pages {
		b, err := os.ReadFile(page)
		require.NoError(t, err)
		for i, span := range strings.Split(string(b), "`") {
			if i%2 == 0 || strings.Contains(span, "\n") {
				continue
			}
			for _, m := range documentedName.FindAllStringSubmatch(span, -1) {
				checked++
				assert.True(t, names[m[1]+"."+m[2]], "%s names %s", page, m[0])
			}
		}
	}
	assert.Greater(t, checked, 50, "the pages name no identifiers")
}
