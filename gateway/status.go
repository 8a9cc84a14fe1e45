package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"trefoillanding/io/tlfollow"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tlslotter"
)

// Status is the state of an instance as it is shown to operators.
type Status struct {
	// Name and Incarnation identify the instance.
	Name        string
	Incarnation uint64
	// IsReady reports whether the instance accepts requests, IsLeaving whether it drains.
	IsReady, IsLeaving bool
	// Open is the number of requests in flight.
	Open int
	// Version is the version of the configuration in force.
	Version uint64
	// Topics has, for each topic of the store, how far it was read and how old that is.
	Topics map[string]TopicStatus
	// IsReader reports whether the instance reads the store for others.
	IsReader bool
	// Instances has the state of each instance as this one sees it.
	Instances map[string]string
	// Homes has the home instance of each service.
	Homes map[string]string
	// Doubted lists the endpoints whose last answers failed.
	Doubted []string
	// Limits has the limits that endpoints name, by their IDs.
	Limits map[string]LimitStatus
	// Paces has what this instance has measured of the speed of each endpoint, by its ID.
	Paces map[string]PaceStatus
	// Quotas has what each organisation whose requests this instance has counted may send at once.
	Quotas map[string]float64
	// QuotaGrants has what this instance has granted to each organisation since its start.
	QuotaGrants map[string]tlmeter.Grants
	// Slots has the services whose slots this instance assigns.
	Slots map[string]tlslotter.Load
}

// LimitStatus is the limit that an endpoint names.
type LimitStatus struct {
	// Rate is the limit in requests a second.
	Rate float64
	// Home is the instance that gives the permits.
	Home string
}

// TopicStatus tells how far a topic was read.
type TopicStatus struct {
	// Next is the offset of the next record to read, in an era of the store.
	Next, Era uint64
	// AgeMs is the time since the store, or a reader of it, last answered, in milliseconds.
	AgeMs int64
}

// Status returns the current state of the instance.
func (i *Instance) Status() Status {
	s := Status{
		Name:      i.settings.Name,
		IsReady:   i.isReady(),
		IsLeaving: i.draining.Load(),
		Open:      i.open(),
		Version:   i.version(),
		Topics:    map[string]TopicStatus{},
		Instances: map[string]string{},
		Homes:     map[string]string{},
		Limits:    map[string]LimitStatus{},
		Paces:     map[string]PaceStatus{},
	}
	if !i.built.Load() {
		return s
	}
	s.Incarnation = i.self.Incarnation
	s.Quotas = i.meter.Levels()
	s.QuotaGrants = i.meter.Grants()
	s.Slots = i.slotter.Loads()
	s.IsReader = i.isReader()
	s.Doubted = i.directory.Failing()
	for id, rate := range i.directory.Limits() {
		s.Limits[id] = LimitStatus{Rate: rate, Home: i.limitHomeOf(id)}
	}
	for topic, f := range i.followers {
		s.Topics[topic] = topicStatus(f)
	}
	for _, k := range i.gossip.All() {
		s.Instances[k.Name] = string(k.State)
	}
	if t := i.table.Load(); t != nil {
		for _, name := range t.Services() {
			s.Homes[name] = i.gossip.Oldest(name, homeCandidates)
			i.addPaces(s.Paces, name)
		}
	}
	return s
}

func topicStatus(f *tlfollow.Follower) TopicStatus {
	p := f.Snapshot().Position()
	return TopicStatus{Next: p.Offset, Era: p.Era, AgeMs: time.Since(f.AnsweredAt()).Milliseconds()}
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// The caller may have disconnected; there is nobody else to report an error to.
	_ = e.Encode(i.Status())
}
