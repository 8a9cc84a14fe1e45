// Package tlbaseline provides reference scheduling policies, with the same
// interface as the scheduler, to compare the scheduler with.
package tlbaseline
