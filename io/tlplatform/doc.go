// Package tlplatform is the client of the platform's services: the append-only
// log, the instance list and the weight store.
//
// It goes through go-zero's httpc with the circuit breaker switched off, since
// a breaker refuses by itself without saying whether anything was sent.
package tlplatform
