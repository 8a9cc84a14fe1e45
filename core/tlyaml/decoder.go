package tlyaml

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decode sets v, a value of a generated wire type, from the node.
func (d *Document) decode(n *yaml.Node, path string, v reflect.Value) {
	d.lines[path] = n.Line
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.addInvalid(path, "anchors and aliases are not supported")
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if f, ok := scalarOf(v.Type()); ok {
		d.scalar(n, path, v, f)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(n, path, v)
	case reflect.Slice:
		d.sequence(n, path, v)
	default:
		d.addInvalid(path, "can't be set in a file")
	}
}

func (d *Document) scalar(n *yaml.Node, path string, v reflect.Value, f scalar) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		d.addInvalid(path, "must be %s", f.expected)
		return
	}
	if err := f.set(n, v); err != "" {
		d.addInvalid(path, "%s, but is %q", err, n.Value)
	}
}

func (d *Document) sequence(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addInvalid(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, c := range n.Content {
		d.decode(c, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (d *Document) mapping(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addInvalid(path, "must be a mapping")
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.entry(n.Content[i], n.Content[i+1], path, v, fields, seen)
	}
	for _, f := range fields {
		if _, ok := seen[f.name]; !ok && f.required {
			d.Add(join(path, f.name), "is missing")
		}
	}
}

func (d *Document) entry(key, value *yaml.Node, path string, v reflect.Value, fields []field, seen map[string]int) {
	at := join(path, key.Value)
	if line, ok := seen[key.Value]; ok {
		d.addAt(key.Line, at, "is set twice, first on line %d", line)
		return
	}
	seen[key.Value] = key.Line
	for _, f := range fields {
		if f.name == key.Value {
			d.decode(value, at, v.Field(f.index))
			d.lines[at] = key.Line
			return
		}
	}
	d.addAt(key.Line, at, "is not a known field%s", suggestion(key.Value, fields))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func suggestion(name string, fields []field) string {
	for _, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "; " + f.name + " is"
		}
	}
	return ""
}
