// Package tlyaml decodes YAML files strictly into the wire types and reports
// every problem of a file at once, each with its file, line and field.
package tlyaml
