package tlledger

import (
	"context"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

const (
	// keepLimit is the most keys without a time that a stream repeats.
	keepLimit = 32_768
	// keepShare is the part of the log's reach after which they are repeated.
	keepShare = 3
	// keepLeast is the shortest time between two repetitions.
	keepLeast = 2 * time.Second
	// keepRecords is the least number of records between two repetitions.
	keepRecords = 64
	markEvery   = 256
)

// mark is the time of one record.
type mark struct {
	offset uint64
	time   time.Time
}

// keeper decides when the keys without a time have to be repeated, from how far
// back the log reaches; the log's retention needs no setting.
type keeper struct {
	marks  []mark
	oldest uint64
	next   uint64
}

// take notes the bounds and times of what was read.
func (k *keeper) take(v tlwire.ReadResult) {
	k.oldest, k.next = v.Oldest, v.Next
	for _, r := range v.Records {
		if n := len(k.marks); n == 0 || r.Offset >= k.marks[n-1].offset+markEvery || r.Time.Sub(k.marks[n-1].time) >= keepLeast {
			k.marks = append(k.marks, mark{r.Offset, r.Time})
		}
	}
	for len(k.marks) > 1 && k.marks[1].offset <= v.Oldest {
		k.marks = k.marks[1:]
	}
}

// isDue says whether the keys have to be repeated, given when they last were.
func (k *keeper) isDue(now time.Time, offset uint64, at time.Time) bool {
	if len(k.marks) == 0 {
		return false
	}
	if at.Before(k.marks[0].time) {
		at = k.marks[0].time
	}
	reach := now.Sub(k.marks[0].time)
	if now.Sub(at) >= max(keepLeast, reach/keepShare) {
		return true
	}
	since := k.next - max(offset, k.oldest)
	return k.oldest > 1 && since >= max(keepRecords, (k.next-k.oldest)/keepShare)
}

// keepAlive repeats the keys without a time when it is due, or else appends a
// mark, so that a quiet stream too tells a new reader how far back it reaches;
// it needs the mutex.
func (s *Stream) keepAlive() {
	if s.keeping {
		return
	}
	if k, ok := s.table.Keep(keepLimit); ok {
		if offset, at := s.table.Kept(); s.keeper.isDue(s.now(), offset, at) {
			s.keeping = true
			s.log.Count(CountKeysReappended, int64(len(k.IDs)/len(tlclaim.ID{})))
			go appendOnce(s, k)
		}
		return
	}
	offset, at := s.table.Marked()
	if s.table.IsBlind() || s.keeper.isDue(s.now(), offset, at) {
		s.keeping = true
		go appendOnce(s, tlwire.Mark{})
	}
}

// appendOnce appends a record that is appended again later if it is lost.
func appendOnce[T tlrecord.Body](s *Stream, b T) {
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	if data, err := tlrecord.Encode(b); err == nil {
		_, _ = s.appender.Append(ctx, data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeping = false
}
