// Package tlcall holds the metadata that the router reads from a caller's request
// and sends to an endpoint with each request, independent of the header names.
package tlcall
