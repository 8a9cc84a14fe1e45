package tlyaml

import (
	"reflect"
	"strings"
)

// field describes one field of a generated type, as declared by its yaml tag.
type field struct {
	name     string
	index    int
	required bool
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields = append(fields, field{
			name:     name,
			index:    i,
			required: !strings.Contains(options, "omitempty"),
		})
	}
	return fields
}
