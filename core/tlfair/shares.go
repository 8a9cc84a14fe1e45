package tlfair

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which what an organisation has had counts half: about as long
	// as a burst lasts.
	halfLife = 4 * time.Second
	// levelRatio is the ratio between two levels. Organisations whose shares differ by less
	// count as equal, so that the order by urgency holds among them.
	levelRatio = 1.25
	// maxOrganisations bounds the organisations that are remembered; the one that had
	// something longest ago yields.
	maxOrganisations = 10_000
	// forgetAfter is the time after which an organisation counts as one that had nothing.
	forgetAfter = 16 * halfLife
)

// usage is what an organisation has had, as of a time.
type usage struct {
	amount float64
	at     time.Time
}

func (u usage) decayed(now time.Time) float64 {
	return u.amount * math.Exp2(-max(now.Sub(u.at), 0).Seconds()/halfLife.Seconds())
}

// Shares knows what each organisation has lately had; it is not safe for concurrent use.
type Shares struct {
	usages map[string]usage
}

// New returns Shares of which nobody has had any.
func New() *Shares {
	return &Shares{usages: map[string]usage{}}
}

// Add records that an organisation got an amount of the resource. The weight, such as its
// quota, is what it may have in relation to others; 0 counts as 1.
func (s *Shares) Add(now time.Time, organisation string, amount, weight float64) {
	if organisation == "" || !(amount > 0) {
		return
	}
	if !(weight > 0) {
		weight = 1
	}
	u, ok := s.usages[organisation]
	if !ok {
		s.makeRoom(now)
	}
	s.usages[organisation] = usage{u.decayed(now) + amount/weight, now}
}

// Level returns the position of an organisation in the order: requests of lower levels go
// first. Requests without an organisation have the lowest.
func (s *Shares) Level(now time.Time, organisation string) int {
	u, ok := s.usages[organisation]
	if !ok || now.Sub(u.at) > forgetAfter {
		return math.MinInt
	}
	return int(math.Floor(math.Log(u.decayed(now)) / math.Log(levelRatio)))
}

func (s *Shares) makeRoom(now time.Time) {
	if len(s.usages) < maxOrganisations {
		return
	}
	oldest := ""
	for name, u := range s.usages {
		if now.Sub(u.at) > forgetAfter {
			delete(s.usages, name)
			continue
		}
		if oldest == "" || u.at.Before(s.usages[oldest].at) {
			oldest = name
		}
	}
	if len(s.usages) >= maxOrganisations {
		delete(s.usages, oldest)
	}
}
