// Package tlwire holds the wire types and settings that `make generate`
// generates from the schemas in the folder schema.
package tlwire
