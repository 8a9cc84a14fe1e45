package tlmodel

import (
	"container/list"

	"trefoillanding/core/tlwire"
)

// BlockTokens is the length of a cache block in tokens.
const BlockTokens = 256

// Cache is a prefix cache with LRU eviction that records its changes as
// numbered events.
type Cache struct {
	capacityBlocks int
	order          *list.List
	blocks         map[uint64]*list.Element
	nextSequence   uint64
	log            []tlwire.CacheEvent
}

// NewCache returns an empty cache with the given capacity in tokens, rounded
// down to whole blocks.
func NewCache(tokens int) *Cache {
	return &Cache{
		capacityBlocks: tokens / BlockTokens,
		order:          list.New(),
		blocks:         make(map[uint64]*list.Element),
		nextSequence:   1,
	}
}

// Match returns how many leading tokens of a prompt are cached.
func (c *Cache) Match(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if c.blocks[b] == nil {
			break
		}
		n++
	}
	return n * BlockTokens
}

// Insert adds a prompt's blocks; of these the last are evicted first.
func (c *Cache) Insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for c.order.Len() > c.capacityBlocks {
		c.evict()
	}
}

// Clear removes all blocks without recording events.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.blocks)
}

// Drain returns the events recorded since the last call.
func (c *Cache) Drain() []tlwire.CacheEvent {
	l := c.log
	c.log = nil
	return l
}

// Next returns the sequence number of the next event.
func (c *Cache) Next() uint64 {
	return c.nextSequence
}

func (c *Cache) touch(b uint64) {
	if e := c.blocks[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.recordChange(b, false)
}

func (c *Cache) evict() {
	b := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, b)
	c.recordChange(b, true)
}

func (c *Cache) recordChange(b uint64, evicted bool) {
	c.log = append(c.log, tlwire.CacheEvent{Sequence: c.nextSequence, Block: b, Evicted: evicted})
	c.nextSequence++
}
