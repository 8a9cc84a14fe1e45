// Package tlorigin knows which version of a service's software began each stream. What
// two versions write doesn't fit together, so that a stream goes on at no other one, and
// not at all where the version is not known.
package tlorigin
