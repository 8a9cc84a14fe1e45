package tlledger

import (
	"context"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

const (
	// maxRefreshedKeys is the largest number of keys without a timestamp that a stream
	// appends again.
	maxRefreshedKeys = 32_768
	// refreshDivisor is what the retained history is divided by to get the refresh interval.
	refreshDivisor = 3
	// minRefreshInterval is the shortest time between two refreshes.
	minRefreshInterval = 2 * time.Second
	// minRefreshRecords is the smallest number of records between two refreshes.
	minRefreshRecords = 64
	// sampleRecords is the number of records after which the next time sample is taken.
	sampleRecords = 256
)

// timeSample is the log's time at one record.
type timeSample struct {
	offset uint64
	time   time.Time
}

// refreshSchedule decides when keys without a timestamp must be appended again, before
// retention drops them. It derives the interval from how far back the log reaches, so
// that the log's retention needs no setting.
type refreshSchedule struct {
	samples      []timeSample
	oldestOffset uint64
	nextOffset   uint64
}

// observe takes the log's bounds and the times of the records that were read.
func (p *refreshSchedule) observe(v tlwire.ReadResult) {
	p.oldestOffset, p.nextOffset = v.Oldest, v.Next
	for _, r := range v.Records {
		if n := len(p.samples); n == 0 || r.Offset >= p.samples[n-1].offset+sampleRecords || r.Time.Sub(p.samples[n-1].time) >= minRefreshInterval {
			p.samples = append(p.samples, timeSample{r.Offset, r.Time})
		}
	}
	for len(p.samples) > 1 && p.samples[1].offset <= v.Oldest {
		p.samples = p.samples[1:]
	}
}

// isDue reports whether a refresh is due, given the offset and the time of the last one.
func (p *refreshSchedule) isDue(now time.Time, offset uint64, at time.Time) bool {
	if len(p.samples) == 0 {
		return false
	}
	if at.Before(p.samples[0].time) {
		at = p.samples[0].time
	}
	reach := now.Sub(p.samples[0].time)
	if now.Sub(at) >= max(minRefreshInterval, reach/refreshDivisor) {
		return true
	}
	since := p.nextOffset - max(offset, p.oldestOffset)
	return p.oldestOffset > 1 && since >= max(minRefreshRecords, (p.nextOffset-p.oldestOffset)/refreshDivisor)
}

// refreshIfDue appends the keys without a timestamp again when a refresh is due. If the
// table gives no keys to append, it appends a Mark record when due, so that a new reader
// of a quiet stream also learns how far back it reaches. The caller holds s.mu.
func (s *Stream) refreshIfDue() {
	if s.isRefreshing {
		return
	}
	if k, ok := s.table.KeySnapshot(maxRefreshedKeys); ok {
		if offset, at := s.table.LastKeySnapshot(); s.schedule.isDue(s.now(), offset, at) {
			s.isRefreshing = true
			s.log.Count(CountKeysReappended, int64(len(k.IDs)/len(tlclaim.ID{})))
			go appendBestEffort(s, k)
		}
		return
	}
	offset, at := s.table.LastMark()
	if s.table.LacksLogTime() || s.schedule.isDue(s.now(), offset, at) {
		s.isRefreshing = true
		go appendBestEffort(s, tlwire.Mark{})
	}
}

// appendBestEffort appends a record whose loss is harmless, since a later refresh appends
// it again.
func appendBestEffort[T tlrecord.Body](s *Stream, b T) {
	ctx, cancel := context.WithTimeout(context.Background(), maxReadWait)
	defer cancel()
	if data, err := tlrecord.Encode(b); err == nil {
		_, _ = s.appender.Append(ctx, data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRefreshing = false
}
