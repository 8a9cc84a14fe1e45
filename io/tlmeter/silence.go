package tlmeter

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// homePause is how long a home is not asked after it gave no answer: about as long as
	// gossip takes to name another.
	homePause = 500 * time.Millisecond
	// maxSilent bounds the homes that are remembered as silent.
	maxSilent = 1000
)

// silence is since when a home has given no answer, and until when it is not asked.
type silence struct {
	since, until time.Time
}

// isSilent reports whether a home isn't asked now, and since when it has given no answer.
func (m *Meter) isSilent(home string) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.silent[home]
	return s.since, m.o.Now().Before(s.until)
}

// markSilent records that a home gave no answer; it returns since when.
func (m *Meter) markSilent(home string, cause error) time.Time {
	now := m.o.Now()
	m.mu.Lock()
	s, ok := m.silent[home]
	if !ok {
		if len(m.silent) >= maxSilent {
			clear(m.silent)
		}
		s.since = now
	}
	s.until = now.Add(homePause)
	m.silent[home] = s
	m.mu.Unlock()
	m.o.Log.WithFields(logrus.Fields{"Home": home, "Cause": cause.Error()}).Info("home of quotas gave no answer")
	return s.since
}

// markAnswering records that a home gave an answer.
func (m *Meter) markAnswering(home string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silent, home)
}
