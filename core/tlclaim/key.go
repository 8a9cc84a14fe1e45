package tlclaim

import (
	"time"

	"github.com/google/uuid"
)

// KeySkew bounds how far a caller's clock and the log's may be apart; it is the
// same for every instance, since the fold depends on it.
const KeySkew = 2 * time.Minute

const timedVersion = 7

// KeyTime returns the time inside a UUIDv7 key; other keys have none.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != timedVersion || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// IsAhead says whether a key's time lies too far ahead of the log's.
func IsAhead(key string, now time.Time) bool {
	t, ok := KeyTime(key)
	return ok && t.After(now.Add(KeySkew))
}

func isPlain(key string) bool {
	_, isTimed := KeyTime(key)
	return !isTimed
}
