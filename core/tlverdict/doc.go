// Package tlverdict holds the error type that every refusal and failure of a
// request is told with, and whether the request may have run.
package tlverdict
