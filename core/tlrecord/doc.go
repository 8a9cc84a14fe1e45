// Package tlrecord encodes and decodes the versioned envelope of log records.
package tlrecord
