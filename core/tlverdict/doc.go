// Package tlverdict defines the error type that reports every refusal and
// failure of a request, and whether the request may have run.
package tlverdict
