package tlyaml

import "fmt"

// Document is a decoded file with the line of each field and the problems found.
type Document struct {
	File     string
	Problems Problems
	lines    map[string]int
	invalid  map[string]bool
}

// Has reports whether the file sets the field at path, such as Pools[2].Name, to
// a value that could be decoded.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok && !d.invalid[path]
}

// Line returns the line of the field at path, or of the nearest enclosing field that is set.
func (d *Document) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return max(d.lines[""], 1)
}

// Add adds a problem with the field at path.
func (d *Document) Add(path, format string, args ...any) {
	d.addAt(d.Line(path), path, format, args...)
}

// addInvalid adds a problem and marks the value of the field at path as not decodable.
func (d *Document) addInvalid(path, format string, args ...any) {
	d.invalid[path] = true
	d.Add(path, format, args...)
}

func (d *Document) addAt(line int, path, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{
		File:    d.File,
		Line:    line,
		Field:   path,
		Message: fmt.Sprintf(format, args...),
	})
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
