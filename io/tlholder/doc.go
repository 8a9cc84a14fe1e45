// Package tlholder takes, renews and gives back leases in the platform's log,
// for one instance.
//
// A lease counts as held only when the log answered with the record's offset
// and the fold up to there grants it. Where the answer was lost the lease is
// left alone: it is found to be this instance's own at the next try, or lapses.
package tlholder
