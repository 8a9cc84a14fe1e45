// Package tlmetric holds one instance's expvar counters in named groups and
// serves them as one JSON object.
package tlmetric
