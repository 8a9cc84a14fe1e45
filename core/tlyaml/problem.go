package tlyaml

import "fmt"

// Problem is a single error in a file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// String returns the problem as one line with file, line and field.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}
