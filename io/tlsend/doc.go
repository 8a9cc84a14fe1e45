// Package tlsend sends requests to endpoints and to other instances, each exactly once: it
// follows no redirects, never retries, and reports with each failure whether the endpoint
// may have run the request. An answer counts only if it proves to be that to the request.
//
// The Transport repeats a request by itself where it holds it for replayable. Each send
// is told which connection it gets: once a byte of it has been written on one, every other
// refuses all writes, whatever the method, header or body.
//
// It uses net/http's Transport rather than go-zero's httpc, whose circuit
// breaker refuses requests on its own and whose tracing would slow each start
// of an entry instance.
package tlsend
