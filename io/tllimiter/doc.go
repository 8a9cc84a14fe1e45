// Package tllimiter keeps all instances together within the limits that endpoints name.
//
// Each endpoint has a home, an instance that is drawn for it, so that what permits cost
// is spread over the fleet. An instance that hears a limit tells that home, which tells
// all others. From then on each asks it for a permit before anything is sent to the
// endpoint: first sends, retries, hedges, both phases of generations, reports and orders. Only an instance that believes itself the home gives permits. Without one, be
// it that the home does not answer, the endpoint is closed to the instance for a time,
// and requests go elsewhere.
//
// Lock order: Limiter.mu is a leaf lock and never held during I/O.
package tllimiter
