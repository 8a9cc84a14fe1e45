// Package tlload puts a bounded load of streamed completions on running
// instances and sums up how they went.
package tlload
