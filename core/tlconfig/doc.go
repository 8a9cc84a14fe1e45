// Package tlconfig parses and validates the declared configuration, provides
// lookups in it and computes the configuration in force from the log's records.
package tlconfig
