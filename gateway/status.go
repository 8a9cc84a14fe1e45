package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"trefoillanding/io/tlfollow"
)

// Status is what an instance believes, as operators are shown it.
type Status struct {
	// Name and Incarnation are the instance's.
	Name        string
	Incarnation uint64
	// IsReady says whether it takes requests, IsLeaving whether it drains.
	IsReady, IsLeaving bool
	// Open counts the requests that it serves.
	Open int
	// Version is the configuration in force.
	Version uint64
	// Topics tells for each topic of the store how old its knowledge is.
	Topics map[string]TopicStatus
	// IsReader says whether it reads the store for others.
	IsReader bool
	// Instances has what is believed of each instance.
	Instances map[string]string
	// Homes has the home of each service of engines.
	Homes map[string]string
	// Doubted names the endpoints whose last answers failed.
	Doubted []string
}

// TopicStatus tells how far a topic was read.
type TopicStatus struct {
	// Next is the offset to go on from.
	Next uint64
	// AgeMs is the time since the store, or a reader of it, last answered, in milliseconds.
	AgeMs int64
}

// Status returns what the instance believes now.
func (i *Instance) Status() Status {
	s := Status{
		Name:      i.settings.Name,
		IsReady:   i.isReady(),
		IsLeaving: i.leaving.Load(),
		Open:      i.open(),
		Version:   i.version(),
		Topics:    map[string]TopicStatus{},
		Instances: map[string]string{},
		Homes:     map[string]string{},
	}
	if !i.built.Load() {
		return s
	}
	s.Incarnation = i.self.Incarnation
	s.IsReader = i.isReader()
	s.Doubted = i.directory.Doubted()
	for topic, f := range i.followers {
		s.Topics[topic] = topicStatus(f)
	}
	for _, k := range i.gossip.All() {
		s.Instances[k.Name] = string(k.State)
	}
	if t := i.table.Load(); t != nil {
		for _, g := range t.EngineServices() {
			s.Homes[g.Name] = i.gossip.Oldest(g.Name, homeChoices)
		}
	}
	return s
}

func topicStatus(f *tlfollow.Follower) TopicStatus {
	return TopicStatus{Next: f.Known().Next, AgeMs: time.Since(f.HeardAt()).Milliseconds()}
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// The caller may be gone; there is nobody else to tell.
	_ = e.Encode(i.Status())
}
