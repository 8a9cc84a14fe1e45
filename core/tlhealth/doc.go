// Package tlhealth tracks the health of endpoints from the outcomes of the
// requests that one instance sends to them, and picks the endpoint for a request.
//
// It uses no active health checks, only traffic: health checks cost requests, and
// an endpoint can fail requests while its health check passes. After a backoff a
// failing endpoint is probed with one repeatable request at a time; requests that
// must run at most once go to endpoints that have recently answered.
package tlhealth
