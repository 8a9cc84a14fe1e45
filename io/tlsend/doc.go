// Package tlsend sends requests to endpoints, each exactly once: it follows no
// redirects, never retries, and reports with each failure whether the endpoint
// may have run the request.
//
// It uses net/http's Transport rather than go-zero's httpc, whose circuit
// breaker refuses requests on its own and whose tracing would slow each start
// of an entry instance.
package tlsend
