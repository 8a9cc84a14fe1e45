package tlyaml

import "fmt"

// Document is a decoded file; it knows the line of each field and collects problems.
type Document struct {
	File     string
	Problems Problems
	lines    map[string]int
	unread   map[string]bool
}

// Has says whether the file sets the field at path, such as Pools[2].Name, to
// a value that could be read.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok && !d.unread[path]
}

// Line returns the line of the field at path, or that of the nearest field around it.
func (d *Document) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = parent(path)
	}
	return max(d.lines[""], 1)
}

// Add reports a problem with the field at path.
func (d *Document) Add(path, format string, args ...any) {
	d.addAt(d.Line(path), path, format, args...)
}

// fail reports that the field at path can't be read.
func (d *Document) fail(path, format string, args ...any) {
	d.unread[path] = true
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
