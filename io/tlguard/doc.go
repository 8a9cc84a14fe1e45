// Package tlguard keeps requests that crash endpoints from all endpoints of a service.
//
// Owners of requests tell the home of the service when an endpoint ends under one, with
// the parts of the request: those of its prompt, and the request itself, which is the
// same each time it comes. The home counts them with tlquarantine, so that crashes add up
// though each is seen by another instance, and tells all instances which part is in
// quarantine; the store's record of it outlasts the home. An instance that has lately
// completed an answer on the part objects, which ends the quarantine. A connection that
// breaks counts only if the endpoint refuses others, as neither a cut nor a fault of the
// endpoint that it survives makes it do; and an endpoint that answers afterwards has not
// ended.
//
// Owners keep the crashes that they have seen, and tell a new home of them.
//
// Lock order: Guard.mu is a leaf lock and never held during I/O.
package tlguard
