package tlmodel

import (
	"container/list"

	"trefoillanding/core/tlwire"
)

// BlockTokens is the length of a cache block in tokens.
const BlockTokens = 256

// Cache is a prefix cache that evicts the least recently used block and
// numbers its changes.
type Cache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	next   uint64
	log    []tlwire.CacheEvent
}

// NewCache returns an empty cache of so many tokens.
func NewCache(tokens int) *Cache {
	return &Cache{
		size:   tokens / BlockTokens,
		order:  list.New(),
		blocks: make(map[uint64]*list.Element),
		next:   1,
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

// Insert puts a prompt's blocks in, the last ones being the first to go again.
func (c *Cache) Insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for c.order.Len() > c.size {
		c.evict()
	}
}

// Clear forgets everything without telling.
func (c *Cache) Clear() {
	c.order.Init()
	clear(c.blocks)
}

// Drain returns the changes since the last call.
func (c *Cache) Drain() []tlwire.CacheEvent {
	l := c.log
	c.log = nil
	return l
}

// Next returns the number of the next change.
func (c *Cache) Next() uint64 {
	return c.next
}

func (c *Cache) touch(b uint64) {
	if e := c.blocks[b]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.tell(b, false)
}

func (c *Cache) evict() {
	b := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, b)
	c.tell(b, true)
}

func (c *Cache) tell(b uint64, evicted bool) {
	c.log = append(c.log, tlwire.CacheEvent{Sequence: c.next, Block: b, Evicted: evicted})
	c.next++
}
