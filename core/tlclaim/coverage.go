package tlclaim

import "time"

// Coverage describes the claims that a table is sure to know.
type Coverage struct {
	// IsFromStart means that the table has read the stream from its first record
	// and dropped nothing.
	IsFromStart bool
	// KnowsUntimed means that every claim of a key without a timestamp is known.
	KnowsUntimed bool
	// Since is the log time after which every claim is known; zero if not known yet.
	Since time.Time
}

// Covers reports whether every valid claim of a key is known.
func (c Coverage) Covers(key string) bool {
	t, isTimed := KeyTime(key)
	switch {
	case !isTimed:
		return c.KnowsUntimed
	case c.IsFromStart:
		return true
	}
	return !c.Since.IsZero() && t.Add(-KeySkew).After(c.Since)
}
