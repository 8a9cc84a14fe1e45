// Package tlslotter has the slots of contended plain services assigned by their homes.
//
// An instance that an endpoint turns away for lack of capacity tells the home of the
// service, which tells all others. From then on each asks the home for a slot before a
// send, and reports the end, until nothing has been queued or turned away for some
// seconds. While the home gives no answer, an instance chooses endpoints by itself, as it
// does for services that are not contended.
//
// Lock order: Slotter.mu is a leaf lock and never held during I/O.
package tlslotter
