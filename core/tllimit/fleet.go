package tllimit

import "time"

// fleetMemory is how long instances that are not listed any more count, since those
// that are out of touch may drop each other's entries.
const fleetMemory = 30 * time.Second

// Fleet knows which part of a limit on all instances together this instance may give out
// as a home: homes that are out of touch with each other give out parts that add up to it.
type Fleet struct {
	// inTouch is the number of instances in touch with this one, itself included; listed
	// is the largest number of all, as of listedAt.
	inTouch  int
	listed   int
	listedAt time.Time
}

// NewFleet returns a fleet of one instance.
func NewFleet() Fleet {
	return Fleet{inTouch: 1, listed: 1}
}

// Set sets how many instances are in touch with this one, itself included, and how many there are.
func (f *Fleet) Set(now time.Time, inTouch, listed int) {
	f.inTouch = max(inTouch, 1)
	if listed >= f.listed || now.Sub(f.listedAt) >= fleetMemory {
		f.listed, f.listedAt = max(listed, 1), now
	}
}

// Share returns the part of a limit that the instances in touch with this one may use.
func (f *Fleet) Share() float64 {
	return min(float64(f.inTouch)/float64(f.listed), 1)
}

// OwnShare returns the part of a limit that this instance may use by itself.
func (f *Fleet) OwnShare() float64 {
	return 1 / float64(f.listed)
}
