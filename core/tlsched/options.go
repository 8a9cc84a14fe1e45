package tlsched

import "time"

// Options switch the mechanisms of a scheduler and set their sizes.
type Options struct {
	// PrefillDepth is the most prefills given to one engine at once.
	PrefillDepth int
	// DecodeStreams is the most streams on one decode engine.
	DecodeStreams int
	// AssumedPieces is the memory of an engine that has not reported yet.
	AssumedPieces int
	// Attempts is the most attempts at one request.
	Attempts int
	// HoldMargin is how long before a prefill result lapses it is given up.
	HoldMargin time.Duration
	// SuspendFor is how long an engine gets no work after a failure; it doubles with each further one.
	SuspendFor time.Duration
}

// DefaultOptions returns the options that New uses.
func DefaultOptions() Options {
	return Options{
		PrefillDepth:  2,
		DecodeStreams: 20,
		AssumedPieces: 40,
		Attempts:      6,
		HoldMargin:    20 * time.Millisecond,
		SuspendFor:    200 * time.Millisecond,
	}
}
