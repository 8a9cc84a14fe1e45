package tlguard

import (
	"context"
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlquarantine"
)

// maxOwn bounds the crashes that an instance remembers of a service; the oldest are dropped.
const maxOwn = 64

// service is what an instance knows of the requests that crash the endpoints of a service.
type service struct {
	table *tlquarantine.Table
	// own holds the crashes that this instance has seen; home was told of them.
	own  []ownCrash
	home string
	// watches holds the requests that wait.
	watches map[*watch]struct{}
	// trialAsked is when the home was last asked for a trial.
	trialAsked time.Time
}

// ownCrash is the end of an endpoint under a request of this instance.
type ownCrash struct {
	at       time.Time
	endpoint tlendpoint.Endpoint
	parts    []string
}

func newService() *service {
	return &service{table: tlquarantine.New(), watches: map[*watch]struct{}{}}
}

// hold puts a part in quarantine; it reports whether that is news.
func (s *service) hold(now, until time.Time, part string) bool {
	isNews := s.table.Quarantine(now, until, part)
	if isNews {
		s.endWatches(now)
	}
	return isNews
}

// addOwn adds crashes of which a home is told.
func (s *service) addOwn(home string, list []ownCrash) {
	s.home = home
	s.own = append(s.own, list...)
	s.own = slices.Delete(s.own, 0, max(len(s.own)-maxOwn, 0))
}

// dropOwn drops the crashes of an endpoint's incarnation from before a time; it reports whether there were any.
func (s *service) dropOwn(e tlendpoint.Endpoint, before time.Time) bool {
	known := len(s.own)
	s.own = slices.DeleteFunc(s.own, func(k ownCrash) bool {
		return k.endpoint.IsSameIncarnation(e) && k.at.Before(before)
	})
	return len(s.own) < known
}

// prune drops the crashes that are evidence no more.
func (s *service) prune(now time.Time) {
	s.own = slices.DeleteFunc(s.own, func(k ownCrash) bool { return now.Sub(k.at) >= tlquarantine.EvidenceTime })
}

// watch is a request that waits and ends when a part of it is put in quarantine.
type watch struct {
	parts  []string
	cancel context.CancelFunc
}

// endWatches ends the requests that wait with a part in quarantine; g.mu must be held.
func (s *service) endWatches(now time.Time) {
	for w := range s.watches {
		if _, _, ok := s.table.Held(now, w.parts); ok {
			w.cancel()
		}
	}
}
