// Package tlplatform is the client of the platform's services: the append-only
// log, the instance list and the weight store.
//
// It uses go-zero's httpc with the circuit breaker disabled, since the error of
// an open breaker does not tell whether anything was sent.
package tlplatform
