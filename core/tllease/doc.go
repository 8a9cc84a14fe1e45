// Package tllease folds leases from the log's records. A lease's fencing number
// is the offset of the record that took it, and it lasts by the log's time.
//
// A lease is taken only while none is in force, or by a later incarnation of
// its own holder. It lapses unless it is renewed in time; a lapsed lease must
// be taken anew, under a higher number. The fold tells who holds a lease at a
// place in the log; a holder that was paused may still act on what it read
// before, which only the number in its orders can stop.
//
// A reader that starts behind the log's beginning may miss the record that took
// a lease. Every live lease is renewed within MaxDuration, so it adopts what is
// renewed, with the highest number, and is certain once that time has passed.
package tllease
