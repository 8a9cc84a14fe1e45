package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// forbiddenImports are the packages that do I/O or write logs, which core must not use.
var forbiddenImports = []string{
	"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log",
	"github.com/coder/websocket", "github.com/sirupsen/logrus",
	"github.com/zeromicro/go-zero",
}

// forbiddenClockCalls are the functions of package time that read the clock or wait for it.
var forbiddenClockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// allowedRandomNames are the only names that core may use of math/rand: the types of
// the generators that it is passed, and the constructors that take a seed.
var allowedRandomNames = []string{"Rand", "Source", "New", "NewPCG", "PCG", "NewChaCha8", "ChaCha8", "Zipf", "NewZipf"}

// file is one parsed source file of core.
type file struct {
	name   string
	syntax *ast.File
	set    *token.FileSet
}

func parse(t *testing.T, name string) file {
	t.Helper()
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, name, nil, 0)
	require.NoError(t, err)
	return file{name, f, set}
}

func isForbiddenImport(path string) bool {
	for _, b := range forbiddenImports {
		if path == b || strings.HasPrefix(path, b+"/") && strings.Contains(b, ".") {
			return true
		}
	}
	return false
}

// imports maps the name of each import in the file to its path.
func (f file) imports() map[string]string {
	all := map[string]string{}
	for _, i := range f.syntax.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		name := filepath.Base(path)
		if path == "math/rand/v2" {
			name = "rand"
		}
		if i.Name != nil {
			name = i.Name.Name
		}
		all[name] = path
	}
	return all
}

// forbiddenUses returns a message for each forbidden name that the file uses of its imports.
func (f file) forbiddenUses() []string {
	var wrong []string
	imports := f.imports()
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		x, ok := s.X.(*ast.Ident)
		if ok && isForbiddenUse(imports[x.Name], s.Sel.Name) {
			wrong = append(wrong, f.set.Position(s.Pos()).String()+" uses "+x.Name+"."+s.Sel.Name)
		}
		return true
	})
	return wrong
}

func isForbiddenUse(path, name string) bool {
	switch path {
	case "time":
		return slices.Contains(forbiddenClockCalls, name)
	case "math/rand", "math/rand/v2":
		return !slices.Contains(allowedRandomNames, name)
	case "crypto/rand":
		return true
	}
	return false
}

func TestDecisionsDoNoIO(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		files++
		f := parse(t, name)
		for _, path := range f.imports() {
			assert.False(t, isForbiddenImport(path), "%s imports %s", name, path)
		}
		assert.Empty(t, f.forbiddenUses())
		return nil
	})
	require.NoError(t, err)
	assert.Greater(t, files, 50, "too few source files found in core")
}
