// Package tlbooking reserves places at engines for the generation requests of
// this instance. Each service has one home, the instance that decides on its
// reservations; this package asks the home, and decides where this instance is
// the home.
//
// Every instance keeps reservations of each service, at least those of its own
// requests, so that it can decide locally while a home does not answer. A new
// home learns all reservations from reports of the instances that own them.
//
// Lock order: Coordinator.mu before reservations.mu; neither is held during I/O.
package tlbooking
