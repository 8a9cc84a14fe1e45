// Package tldirectory holds the endpoints that this instance knows, by service,
// and their health as seen in its own traffic. Its mutex is a leaf lock: no other
// lock is taken while it is held.
package tldirectory
