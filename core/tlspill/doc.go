// Package tlspill orders the pools to which an owner sends a request, by load
// summaries that may be out of date.
package tlspill
