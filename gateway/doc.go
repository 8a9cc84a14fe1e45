// Package gateway assembles one gateway instance on the users' platform from the
// decisions in core, the input and output in io and the clients in platform.
//
// An instance starts by appending its own entry to the store, and the offset of
// the entry gives its incarnation: a time of day could go back with the clock. It
// accepts requests once configuration and endpoints are known.
package gateway
