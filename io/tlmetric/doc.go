// Package tlmetric holds one instance's expvar counters, in named groups, and
// serves them as one tree.
package tlmetric
