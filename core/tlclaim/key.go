package tlclaim

import (
	"time"

	"github.com/google/uuid"
)

// KeySkew is the largest allowed difference between a caller's clock and the
// log's; it must be the same on every instance, since the table depends on it.
const KeySkew = 2 * time.Minute

const timedUUIDVersion = 7

// KeyTime returns the timestamp of a UUIDv7 key; false for any other key.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != timedUUIDVersion || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// IsAhead reports whether a key's timestamp is later than now by more than KeySkew.
func IsAhead(key string, now time.Time) bool {
	t, ok := KeyTime(key)
	return ok && t.After(now.Add(KeySkew))
}

func isUntimed(key string) bool {
	_, isTimed := KeyTime(key)
	return !isTimed
}
