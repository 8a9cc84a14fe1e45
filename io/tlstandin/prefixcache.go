package tlstandin

import (
	"container/list"
	"encoding/binary"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoillanding/core/tlwire"
)

const (
	// BlockBytes is the size of a block of the prefix cache.
	BlockBytes = 1024
	// eventsKept is how many cache events can still be read.
	eventsKept = 16_384
	// eventsAtOnce is how many cache events one answer holds.
	eventsAtOnce = 2_048
)

// prefixCache keeps the blocks of prompts that were used last.
type prefixCache struct {
	size   int
	blocks map[uint64]*list.Element
	order  *list.List
	next   uint64
	events []datedEvent
}

type datedEvent struct {
	at    time.Time
	event tlwire.CacheEvent
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, blocks: map[uint64]*list.Element{}, order: list.New(), next: 1}
}

// use returns how many leading blocks of a prompt were there, and keeps all;
// lost says of each event whether it is never published.
func (c *prefixCache) use(prompt string, now time.Time, lost func() bool) int {
	found, broken := 0, false
	for _, b := range blocks(prompt) {
		x := c.blocks[b]
		if x == nil {
			broken = true
			c.blocks[b] = c.order.PushFront(b)
			c.publish(now, tlwire.CacheEvent{Block: b}, lost)
			continue
		}
		c.order.MoveToFront(x)
		if !broken {
			found++
		}
	}
	for c.order.Len() > c.size {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		c.publish(now, tlwire.CacheEvent{Block: b, Evicted: true}, lost)
	}
	return found
}

func (c *prefixCache) clear() {
	c.next = 1
	c.events = nil
	c.blocks = map[uint64]*list.Element{}
	c.order.Init()
}

func (c *prefixCache) publish(now time.Time, v tlwire.CacheEvent, lost func() bool) {
	v.Sequence = c.next
	c.next++
	if lost() {
		return
	}
	c.events = append(c.events, datedEvent{now, v})
	if len(c.events) > eventsKept {
		c.events = c.events[len(c.events)-eventsKept:]
	}
}

// read returns the events after a sequence number that are old enough to be
// seen; a number that was never reached begins again from the oldest.
func (c *prefixCache) read(after uint64, before time.Time) tlwire.CacheEvents {
	if after >= c.next {
		after = 0
	}
	v := tlwire.CacheEvents{Oldest: c.next, Next: after, Events: []tlwire.CacheEvent{}}
	if len(c.events) > 0 {
		v.Oldest = c.events[0].event.Sequence
	}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].event.Sequence > after })
	for _, d := range c.events[i:] {
		if d.at.After(before) || len(v.Events) == eventsAtOnce {
			break
		}
		v.Events = append(v.Events, d.event)
		v.Next = d.event.Sequence
	}
	return v
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		after = 0
	}
	t := time.Now().Add(-e.faults.Get().CacheLag)
	e.mutex.Lock()
	v := e.cache.read(after, t)
	e.mutex.Unlock()
	answer(w, v)
}

// blocks returns the chained hashes of the whole blocks of a prompt.
func blocks(prompt string) []uint64 {
	l := make([]uint64, 0, len(prompt)/BlockBytes)
	var last uint64
	var b [8]byte
	d := xxhash.New()
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		d.Reset()
		binary.LittleEndian.PutUint64(b[:], last)
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(prompt[:BlockBytes])
		last = d.Sum64()
		l = append(l, last)
	}
	return l
}
