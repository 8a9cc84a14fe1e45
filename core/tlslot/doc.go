// Package tlslot assigns the slots of a contended plain service to the requests of all
// instances.
//
// The load that it answers is a burst of two to three times the usual at a service whose
// few endpoints have short queues. Instances that each guess which endpoint has room fill
// one queue while another is empty, and what is turned away comes back as further load.
// The home of the service has a Book: it counts what each endpoint runs, orders the
// requests that wait, and refuses at once those that can't start in time.
package tlslot
