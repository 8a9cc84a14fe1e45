// Package tlendpoint holds what endpoints report of themselves, and the list of
// the registered endpoints, built from the log of their entries.
package tlendpoint
