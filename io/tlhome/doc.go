// Package tlhome runs the schedulers of the pools whose home this instance is.
// The home of a pool is the instance that schedules its requests. The package
// passes submissions, reports, engine load and timer ticks to the schedulers, and
// sends the resulting steps to the instances that own the requests.
//
// Lock order: Homes.mu before pool.mu; neither is held over I/O.
package tlhome
