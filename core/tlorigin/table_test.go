package tlorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func origin(attempt, version string, kept time.Duration) Origin {
	return Origin{Attempt: attempt, Service: "s", Version: version, Until: start.Add(kept)}
}

func TestVersionIsGuessedFromWhatIsNotCertain(t *testing.T) {
	other := origin("a", "v1", time.Second)
	other.Service = "t"
	cases := []struct {
		name      string
		origins   []Origin
		after     time.Duration
		isKnown   bool
		isCertain bool
	}{
		{"1 nothing is known", nil, 0, false, false},
		{"2 one word", []Origin{origin("a", "v1", time.Second)}, 0, true, true},
		{"3 the same word twice", []Origin{origin("a", "v1", time.Second), origin("a", "v1", time.Second)}, 0, true, true},
		{"4 two versions", []Origin{origin("a", "v1", time.Second), origin("a", "v2", time.Second)}, 0, true, false},
		{"5 two versions, and the first again", []Origin{origin("a", "v1", time.Second), origin("a", "v2", time.Second), origin("a", "v1", time.Second)}, 0, true, false},
		{"6 two services", []Origin{origin("a", "v1", time.Second), other}, 0, true, false},
		{"7 not certain", []Origin{origin("a", "", time.Second)}, 0, true, false},
		{"8 another attempt", []Origin{origin("b", "v1", time.Second)}, 0, false, false},
		{"9 its time is over", []Origin{origin("a", "v1", time.Second)}, time.Second, false, true},
		{"10 it was over before", []Origin{origin("a", "v1", -time.Second)}, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := New(10)
			for _, o := range c.origins {
				k.Add(start, o)
			}
			o, ok := k.Find(start.Add(c.after), "a")
			assert.Equal(t, c.isKnown, ok)
			assert.Equal(t, c.isCertain, o.IsCertain())
		})
	}
}

func TestTableIsNotFullOfWhatHasExpired(t *testing.T) {
	k := New(10)
	for n := range 20 {
		k.Add(start, origin(fmt.Sprint(n), "v1", time.Second))
	}
	assert.Len(t, k.All(start), 10)
	assert.Empty(t, k.All(start.Add(time.Second)))
	later := start.Add(2 * time.Second)
	assert.True(t, k.Add(later, origin("late", "v1", 3*time.Second)))
	_, ok := k.Find(later, "late")
	assert.True(t, ok)
}
