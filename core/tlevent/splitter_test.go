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

// Guards against an error's text or head, and events that came before, in the middle of a stream.
func TestSplitterStopsAtWhatIsNoNextEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	cases := []struct {
		name, after, stream, events string
		isMalformed                 bool
	}{
		{"1 events", "", first + "id: 2\ndata: b\n\n", first + "id: 2\ndata: b\n\n", false},
		{"2 a run that goes on", "1", "id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n", false},
		{"3 a run that begins anew", "1", first, "", true},
		{"4 a run that goes on, then without an ID", "1", "id: 2\n\ndata: b\n\n", "id: 2\n\ndata: b\n\n", false},
		{"5 a run that goes on without an ID", "1", "data: b\n\n", "", true},
		{"6 a comment before a run goes on", "1", ": still there\n\nid: 2\n\n", ": still there\n\nid: 2\n\n", false},
		{"7 the same event twice", "", first + first, first, true},
		{"8 an earlier event", "9", "id: 10\n\nid: 9\n\n", "id: 10\n\n", true},
		{"9 IDs that are no numbers", "", "id: b\n\nid: a\n\n", "id: b\n\nid: a\n\n", false},
		{"10 the same ID that is no number", "", "id: b\n\nid: b\n\n", "id: b\n\n", true},
		{"11 no IDs at all", "", "data: a\n\nevent: end\ndata\nretry: 5\n\n", "data: a\n\nevent: end\ndata\nretry: 5\n\n", false},
		{"12 a field of the engine's own", "", "x-versions: 4\nid: 1\n\n", "x-versions: 4\nid: 1\n\n", false},
		{"13 a text", "", first + "boom\n\n" + first, first, true},
		{"14 a text with a colon", "", first + "boom: the engine failed\n\n", first, true},
		{"15 JSON", "", first + "{\"error\": \"boom\"}\n\n", first, true},
		{"16 a head", "", first + "HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nboom\n\n", first, true},
		{"17 lines that end with a carriage return", "", "id: 1\r\ndata: a\r\n\n", "id: 1\r\ndata: a\r\n\n", false},
		{"18 all lines end so, the empty one too", "", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", false},
		{"19 one way and the other", "", "id: 1\r\n\r\nid: 2\n\nid: 3\n\r\n", "id: 1\r\n\r\nid: 2\n\nid: 3\n\r\n", false},
		{"20 a carriage return within a line", "", "data: a\rb\n\r", "", false},
		{"21 the same event twice", "", "id: 1\r\n\r\nid: 1\r\n\r\n", "id: 1\r\n\r\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(c.stream)} {
				s := After(c.after)
				out := ""
				for rest := c.stream; rest != ""; rest = rest[min(size, len(rest)):] {
					out += string(s.Add([]byte(rest[:min(size, len(rest))])))
				}
				assert.Equal(t, c.events, out)
				assert.Equal(t, c.isMalformed, s.IsMalformed())
			}
		})
	}
}
