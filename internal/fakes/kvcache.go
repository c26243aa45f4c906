package fakes

import (
	"slices"
	"time"

	"egretramp/internal/upstream/wire"
)

// maxCacheEvents limits the number of stored cache events; the oldest are dropped.
const maxCacheEvents = 10_000

// kvCache tracks an engine's KV memory: the reservations of running calls and the cached prefixes
// of idle sessions. If memory runs short, the least recently used prefix is evicted. The caller
// must synchronize access.
type kvCache struct {
	capacity int64
	gap      int // every gap-th event is dropped; negative: none
	reserved int64
	idle     []prefix // least recently used first
	idleSize int64
	events   []cacheEvent
	sequence uint64
}

// prefix is the cached prefix of an idle session.
type prefix struct {
	session string
	tokens  []string
}

type cacheEvent struct {
	wire.CacheEvent
	at time.Time
}

// used returns the number of tokens in memory.
func (c *kvCache) used() int64 {
	return c.reserved + c.idleSize
}

// reserve reserves need tokens for a call and evicts idle prefixes as required. The session's
// cached prefix becomes part of the reservation; cached is the number of prompt tokens that it
// covers. It returns false if running calls leave too little memory.
func (c *kvCache) reserve(session string, prompt []string, need int64, now time.Time) (cached int, ok bool) {
	free := c.capacity - c.reserved
	if need > free {
		return 0, false
	}
	if i := c.find(session); i >= 0 {
		cached = commonPrefix(c.idle[i].tokens, prompt)
		c.remove(i)
	}
	c.reserved += need
	for c.used() > c.capacity {
		c.evict(0, now)
	}
	return cached, true
}

// release frees a call's reservation and, if keep is set, caches its tokens as the session's
// prefix.
func (c *kvCache) release(session string, tokens []string, need int64, keep bool, now time.Time) {
	c.reserved -= need
	if !keep || session == "" {
		return
	}
	c.store(session, tokens, now)
}

// store caches a session's prefix and evicts others as required. It returns false if running
// calls leave too little memory.
func (c *kvCache) store(session string, tokens []string, now time.Time) bool {
	if i := c.find(session); i >= 0 {
		c.remove(i)
	}
	size := int64(len(tokens))
	if c.reserved+size > c.capacity {
		return false
	}
	c.idle = append(c.idle, prefix{session, tokens})
	c.idleSize += size
	c.event(wire.CacheEvent{Session: session, Tokens: size}, now)
	for c.used() > c.capacity {
		c.evict(0, now)
	}
	return true
}

// drop evicts a session's cached prefix.
func (c *kvCache) drop(session string, now time.Time) {
	if i := c.find(session); i >= 0 {
		c.evict(i, now)
	}
}

func (c *kvCache) find(session string) int {
	return slices.IndexFunc(c.idle, func(p prefix) bool { return p.session == session })
}

func (c *kvCache) remove(i int) {
	c.idleSize -= int64(len(c.idle[i].tokens))
	c.idle = slices.Delete(c.idle, i, i+1)
}

func (c *kvCache) evict(i int, now time.Time) {
	p := c.idle[i]
	c.remove(i)
	c.event(wire.CacheEvent{Session: p.session, Tokens: int64(len(p.tokens)), Evicted: true}, now)
}

func (c *kvCache) event(e wire.CacheEvent, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	e.Sequence = c.sequence
	c.events = append(c.events, cacheEvent{e, now})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// eventsSince returns the events with a sequence of at least from that are not newer than before.
func (c *kvCache) eventsSince(from uint64, before time.Time) []wire.CacheEvent {
	list := []wire.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence >= from && !e.at.After(before) {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
