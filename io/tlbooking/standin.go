package tlbooking

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// doubtPeriod is how long a home that did not answer is not asked: about as long as
	// gossip takes to agree on whether it is gone.
	doubtPeriod = time.Second
	// standInPeriod is how long after the last request of another owner an instance
	// counts as standing in: those that doubt its home ask it for doubtPeriod at least.
	standInPeriod = 2 * doubtPeriod
)

// home returns the instance that decides on a service for this one: the first of its
// homes that is not doubted, or this instance.
func (d *Coordinator) home(service string) string {
	now, homes := d.o.Now(), d.o.Homes(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range homes {
		if h == d.o.Self.Name || !now.Before(d.doubted[h]) {
			return h
		}
	}
	return d.o.Self.Name
}

// isHome reports whether this instance is the home of a service by membership, whether
// or not it doubts another.
func (d *Coordinator) isHome(service string) bool {
	homes := d.o.Homes(service)
	return len(homes) == 0 || homes[0] == d.o.Self.Name
}

// doubt stops asking a home for doubtPeriod, and reports this instance's reservations
// to those that stand in for it.
func (d *Coordinator) doubt(home string, cause error) {
	now := d.o.Now()
	d.mu.Lock()
	wasDoubted := now.Before(d.doubted[home])
	maps.DeleteFunc(d.doubted, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.doubted[home] = now.Add(doubtPeriod)
	d.mu.Unlock()
	if wasDoubted {
		return
	}
	d.o.Log.WithFields(logrus.Fields{"Home": home, "Cause": cause.Error()}).Info("home doubted")
	d.checkHomes(now, d.services())
}

// standInState is the time during which an instance has decided for the owners of
// others without being the home; zero while it does not.
type standInState struct {
	since, last time.Time
}

// standIn records a request of another owner, and reports whether it is the first.
func (k *reservations) standIn(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	isFirst := k.standInTime.since.IsZero()
	if isFirst {
		k.standInTime.since = now
	}
	k.standInTime.last = now
	return isFirst
}

// hasStoodIn reports whether the instance has been standing in for at least a time.
func (k *reservations) hasStoodIn(now time.Time, least time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.standInTime
	return !s.since.IsZero() && now.Sub(s.last) < standInPeriod && now.Sub(s.since) >= least
}

// endStandIn reports whether the instance has just ceased to stand in.
func (k *reservations) endStandIn(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.standInTime.since.IsZero() || now.Sub(k.standInTime.last) < standInPeriod {
		return false
	}
	k.standInTime = standInState{}
	return true
}
