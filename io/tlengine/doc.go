// Package tlengine is the HTTP client of the model engines: it starts prefills,
// KV cache imports and token streams, decodes token events cheaply, and retries
// cancels until the engines confirm them.
package tlengine
