package tlclaim

import "time"

// Coverage says how far back a table knows every claim.
type Coverage struct {
	// IsComplete says that the table has seen the stream from its first record on.
	IsComplete bool
	// Since is the time after which every claim is known; zero when it is not known yet.
	Since time.Time
}

// Covers says whether every claim that counts for a key is known.
func (c Coverage) Covers(key string) bool {
	if c.IsComplete {
		return true
	}
	t, ok := KeyTime(key)
	return ok && !c.Since.IsZero() && t.Add(-KeySkew).After(c.Since)
}
