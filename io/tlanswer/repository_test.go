package tlanswer

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// bareClient matches ways to read answers that the rule for broken ones doesn't hold for.
var bareClient = regexp.MustCompile(`http\.(Transport\{|DefaultClient|DefaultTransport|Client\{\}|Get\(|Post\(|Head\(|ReadResponse\()`)

// Guards against a new reader of answers that takes broken ones for whole. Stand-ins read none
// that an instance takes from them.
func TestAllAnswersAreReadThroughTheTransport(t *testing.T) {
	root := filepath.Join("..", "..")
	readers := 0
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() && (name == "review" || name == filepath.Join("io", "tlstandin") || name == filepath.Join("io", "tlanswer") || strings.HasPrefix(d.Name(), ".") && name != ".") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if bareClient.Match(text) {
			readers++
			assert.Contains(t, string(text), "tlanswer.New(", name)
		}
		return nil
	}))
	assert.Greater(t, readers, 5, "the files of the repository were not found")
}
