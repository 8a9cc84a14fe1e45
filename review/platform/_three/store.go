package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a replica writes its entry; the store drops it after three of them.
const heartbeat = 1200 * time.Millisecond

// store is the platform's log: topics with one partition, held in memory.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	// beats has when each replica last wrote its entry.
	beats map[string]time.Time
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /-/log-append", s.append)
	m.HandleFunc("GET /-/log-read", s.read)
	m.HandleFunc("GET /-/log-newest", s.newest)
	m.HandleFunc("POST /beat", s.beat)
	go func() { _ = http.Serve(l, m) }()
	go s.expire()
	return s, nil
}

func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// newestValue returns the newest value of a key.
func (s *store) newestValue(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.topics[topic]) - 1; n >= 0; n-- {
		if k := s.topics[topic][n]; string(k[1:1+k[0]]) == key {
			return k[1+k[0]:]
		}
	}
	return nil
}

// put appends a record for a key; no value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, keyed(key, value))
}

// add appends a record; s.mu must be held.
func (s *store) add(topic string, record []byte) int {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

// beat takes in a replica's entry.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b) == 0 {
		delete(s.beats, id)
	} else {
		s.beats[id] = time.Now()
	}
	s.add("keyed.servers", keyed(id, b))
}

// expire drops the entries of replicas that are silent.
func (s *store) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				s.add("keyed.servers", keyed(id, nil))
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	var records [][]byte
	for err == nil && len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if len(b) < 4+n {
			break
		}
		records = append(records, b[4:4+n])
		b = b[4+n:]
	}
	if err != nil || len(b) > 0 || len(records) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end_offset": end})
		return
	}
	for _, k := range records {
		s.add(topic, k)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end_offset": end + len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	for {
		s.mu.Lock()
		all, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(all) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first_offset": 0})
			return
		}
		if from < len(all) || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, k := range all[from:] {
				b = binary.BigEndian.AppendUint32(b, uint32(len(k)))
				b = append(b, k...)
			}
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	all := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	last := map[string]item{}
	for n, k := range all {
		key, value := string(k[1:1+k[0]]), k[1+k[0]:]
		delete(last, key)
		if len(value) > 0 {
			last[key] = item{key, value, n}
		}
	}
	items := []item{}
	for _, i := range last {
		items = append(items, i)
	}
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(all)})
}
