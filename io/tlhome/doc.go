// Package tlhome runs the schedulers of the pools whose home this instance is:
// it feeds them with submissions, reports, load and time, and delivers their
// steps to the owners of the requests.
//
// Lock order: Homes.mu before pool.mu; neither is held over I/O.
package tlhome
