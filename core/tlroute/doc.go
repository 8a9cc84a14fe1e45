// Package tlroute holds the configured routes by host and path prefix, and finds
// the route and the service of a request.
package tlroute
