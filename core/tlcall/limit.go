package tlcall

// Limit is what an answer says of the requests that its endpoint takes from all
// instances together.
type Limit struct {
	// IsNamed says that the answer names a limit.
	IsNamed bool
	// IsUnreadable says that it names one that can't be read.
	IsUnreadable bool
	// Rate is the limit in requests a second.
	Rate float64
}
