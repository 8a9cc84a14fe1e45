package tlyaml

import (
	"reflect"
	"strings"
)

// field is one field of a generated type, as its yaml tag tells it.
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
