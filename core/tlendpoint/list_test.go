package tlendpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func ids(l *List) []string {
	var all []string
	for _, e := range l.All() {
		all = append(all, e.ID)
	}
	return all
}

func TestEntryThatLapsesDuringOutageIsKeptForGracePeriod(t *testing.T) {
	l := NewList()
	l.Put(Endpoint{ID: "a"})
	l.Put(Endpoint{ID: "b"})
	l.Put(Endpoint{ID: "c"})
	l.Remove("a", time.Time{})
	assert.Equal(t, []string{"b", "c"}, ids(l))
	l.Remove("b", start.Add(OutageGrace))
	l.Remove("c", start.Add(OutageGrace))
	assert.False(t, l.Expire(start.Add(time.Second)))
	assert.Equal(t, []string{"b", "c"}, ids(l))
	l.Put(Endpoint{ID: "c"})
	assert.True(t, l.Expire(start.Add(OutageGrace)))
	assert.Equal(t, []string{"c"}, ids(l), "an entry that was put again stays, the other is removed")
}

func TestSecondRemoveDoesNotExtendGracePeriod(t *testing.T) {
	l := NewList()
	l.Put(Endpoint{ID: "a"})
	l.Remove("a", start.Add(time.Second))
	l.Remove("a", start.Add(time.Hour))
	assert.True(t, l.Expire(start.Add(time.Second)))
	assert.Empty(t, ids(l))
}
