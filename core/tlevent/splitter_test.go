package tlevent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nx-versions: 4\nid: 3\ndata: d\n\n"

func TestSplitterReturnsOnlyWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var out []byte
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			whole := s.Add([]byte(rest[:n]))
			if len(whole) > 0 {
				assert.Equal(t, "\n\n", string(whole[len(whole)-2:]))
			}
			out = append(out, whole...)
			rest = rest[n:]
		}
		assert.Equal(t, stream, string(out))
		assert.Equal(t, "3", s.LastID())
		assert.True(t, s.IsEmpty())
	})
}

func TestSplitterKeepsIncompleteEvent(t *testing.T) {
	var s Splitter
	assert.Equal(t, "id: 1\n\n", string(s.Add([]byte("id: 1\n\nid: 2\ndata:"))))
	assert.Equal(t, "1", s.LastID())
	assert.False(t, s.IsEmpty())
}

// Guards against copying an event without end at each read: its bytes are few reads
// from the bound of an event, but the copies kept an instance busy for its whole deadline.
func TestEventWithoutEndIsNotCopiedAtEachRead(t *testing.T) {
	var s Splitter
	piece := make([]byte, 4<<10)
	allocated := testing.AllocsPerRun(1, func() {
		s = Splitter{}
		for range 256 {
			assert.Empty(t, s.Add(piece))
		}
	})
	assert.Equal(t, 1<<20, s.Pending())
	assert.Less(t, allocated, 64.0, "the buffer doubles")
}
