// Package tlyaml strictly decodes YAML files into the wire types and reports all
// problems of a file at once, each with its file, line and field.
package tlyaml
