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
