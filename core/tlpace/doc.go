// Package tlpace estimates how fast each endpoint of a service is, and how many requests
// it handles well at once, from the times of its answers.
//
// The load that it answers: endpoints of one service whose work takes 0.6 to 1.6 times as
// long as usual, which pause for some tenths of a second now and then, and some of which
// become several times slower for good, or slow down long before their slots are in use.
//
// An estimate counts only where it differs from that of the service by more than the noise
// of its measurements; otherwise the endpoint counts as one like all others. An estimate
// loses precision with its age, so that an endpoint that was avoided is tried again.
package tlpace
