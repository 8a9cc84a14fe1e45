// Package tlload sends a bounded load of streamed completions or payment calls
// to running instances and summarises the results.
package tlload
