// Package tllease derives leases from the log's records. A lease's fencing number
// is the offset of the record that took it, and its expiry is in the log's time.
//
// A lease can be taken only while none is live, or by a later incarnation of its
// holder. It expires unless it is renewed in time; an expired lease must be taken
// again, with a higher fencing number. The table gives the holder at an offset of
// the log; a holder that was paused may still act on records that it read
// earlier, and only the fencing number in its orders can stop that.
//
// A reader that starts after the log's first record may miss the record that took
// a lease. Every live lease is renewed within MaxDuration, so the reader adopts
// the renewed lease with the highest fencing number, and knows all leases once
// MaxDuration has passed.
package tllease
