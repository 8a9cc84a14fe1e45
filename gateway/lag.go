package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tllag"
)

// behindLogDelay is how long a newer configuration is known before the log says that this
// instance has none of it: most take effect sooner.
const behindLogDelay = time.Second

// configLag knows for how long others have had a newer configuration than this instance.
type configLag struct {
	log *logrus.Entry

	mu      sync.Mutex
	tracker tllag.Tracker
	// hasLogged says that the log has a line on the present lag.
	hasLogged bool
}

// heard records that another instance has a version in force.
func (l *configLag) heard(peer string, version uint64) {
	now := time.Now()
	l.mu.Lock()
	l.tracker.Heard(now, version)
	behind := l.tracker.Behind(now)
	isNews := !l.hasLogged && behind >= behindLogDelay
	l.hasLogged = l.hasLogged || isNews
	l.mu.Unlock()
	if isNews {
		l.log.WithFields(logrus.Fields{"Peer": peer, "Version": version, "BehindMs": behind.Milliseconds()}).Warn("configuration is behind")
	}
}

// reached records that a version is in force here.
func (l *configLag) reached(version uint64) {
	now := time.Now()
	l.mu.Lock()
	behind := l.tracker.Behind(now)
	l.tracker.Reached(version)
	hasCaughtUp := l.hasLogged && l.tracker.Behind(now) == 0
	l.hasLogged = l.hasLogged && !hasCaughtUp
	l.mu.Unlock()
	if hasCaughtUp {
		l.log.WithFields(logrus.Fields{"Version": version, "BehindMs": behind.Milliseconds()}).Info("configuration has caught up")
	}
}

// behind returns for how long a newer version has been known that isn't in force here.
func (l *configLag) behind() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Behind(time.Now())
}
