// Package tlbaseline holds simpler policies that answer the same calls as the
// scheduler, to measure it against.
package tlbaseline
