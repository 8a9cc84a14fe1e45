package tlkeyed

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func record(key, value string, offset uint64) Record {
	r := Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func TestTableHoldsNewestRecordOfEachKey(t *testing.T) {
	n := NewTable()
	n.Reset(Batch{Records: []Record{record("b", "1", 0), record("a", "2", 1)}, Next: 2})
	n.Apply(Batch{Records: []Record{record("b", "3", 2), record("a", "", 3), record("c", "4", 4)}, Next: 5})
	assert.Equal(t, Batch{Records: []Record{record("b", "3", 2), record("c", "4", 4)}, Next: 5, End: 5}, n.All())
	n.Reset(Batch{Records: []Record{record("c", "4", 4)}, Next: 9})
	assert.Equal(t, uint64(9), n.All().Next)
	assert.Len(t, n.All().Records, 1)
}

// Guards against overwriting newer records, which are never read again, by a slow
// read: records from another instance may have been applied in the meantime.
func TestApplyIgnoresRecordsBeforeNextOffset(t *testing.T) {
	n := NewTable()
	n.Reset(Batch{Records: []Record{record("a", "9", 9)}, Next: 11})
	n.Apply(Batch{Records: []Record{record("a", "5", 5), record("gone", "6", 6)}, Next: 7})
	assert.Equal(t, []Record{record("a", "9", 9)}, n.All().Records)
	assert.Equal(t, uint64(11), n.Next().Offset)
}

func TestNumbersRiseAcrossErasThoughOffsetsGoBack(t *testing.T) {
	last := uint64(0)
	for _, p := range []Position{{0, 0}, {0, 9}, {1, 0}, {1, 3}, {2, 1}, {2, 2}, {5, 0}} {
		assert.Greater(t, p.Number(), last)
		last = p.Number()
	}
	assert.Less(t, Position{Era: 1 << 20, Offset: 1<<32 - 2}.Number(), uint64(1)<<53, "exact in JSON")
}
