package tlclaim

import "time"

// Coverage says which claims a table knows.
type Coverage struct {
	// IsFromStart says that the table has seen the stream from its first record
	// on and dropped nothing.
	IsFromStart bool
	// KnowsUntimed says that every claim of a key without a time is known.
	KnowsUntimed bool
	// Since is the time after which every claim is known; zero when it is not known yet.
	Since time.Time
}

// Covers says whether every claim that counts for a key is known.
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
