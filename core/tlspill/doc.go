// Package tlspill chooses the pool that an owner sends a request to, from
// lagging summaries.
package tlspill
