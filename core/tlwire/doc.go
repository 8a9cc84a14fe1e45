// Package tlwire holds the wire types and settings generated from the schemas
// in the folder schema; `make generate` writes it anew.
package tlwire
