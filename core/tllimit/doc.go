// Package tllimit divides the limits that endpoints name among all instances.
//
// The load that it answers: an endpoint takes a few requests a second from all
// instances together, while many times as many are sent to its service. An equal part
// for each instance would be a fraction of a request, and would change with their
// number; so one instance, the home of the endpoint, gives a permit for each request,
// whatever it is for, and an instance without one sends the request elsewhere.
//
// Homes change, and instances that are out of touch have a home each. A Divider begins
// with nothing saved up, so that one which takes over from another gives out no permit
// twice, and gives out the part of the limit that the instances in touch with it are of
// all. Such parts add up to the limit without a message between them.
//
// Ages are measured at the instance that tells of them, so that clocks need not agree.
// A Divider is not safe for concurrent use.
package tllimit
