package tlyaml

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Decode decodes one YAML document into a T; the Document collects all problems.
func Decode[T any](file string, data []byte) (T, *Document) {
	var t T
	d := &Document{File: file, lines: map[string]int{}, invalid: map[string]bool{}}
	root := d.parse(data)
	if root != nil {
		d.decode(root, "", reflect.ValueOf(&t).Elem())
	}
	return t, d
}

func (d *Document) parse(data []byte) *yaml.Node {
	r := yaml.NewDecoder(bytes.NewReader(data))
	var n, second yaml.Node
	err := r.Decode(&n)
	if errors.Is(err, io.EOF) {
		d.addAt(1, "", "the file is empty")
		return nil
	}
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	if err := r.Decode(&second); err == nil {
		d.addAt(second.Line, "", "a file holds one document only")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxError(err)
	}
	return n.Content[0]
}

var lineInError = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

// addSyntaxError adds an error of the YAML parser, whose text contains the line number.
func (d *Document) addSyntaxError(err error) {
	m := lineInError.FindStringSubmatch(err.Error())
	if m == nil {
		d.addAt(1, "", "%v", err)
		return
	}
	line, _ := strconv.Atoi(m[1])
	d.addAt(max(line, 1), "", "%s", err.Error()[len(m[0]):])
}
