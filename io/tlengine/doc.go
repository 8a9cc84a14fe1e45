// Package tlengine is the client of the model engines: it starts prefills,
// imports and streams, reads tokens with little work for each, and repeats
// cancels until the engines confirm them.
package tlengine
