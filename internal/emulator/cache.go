package emulator

import (
	"math/rand/v2"
	"slices"
)

// prefixCache keeps prompts in limited memory, least recently used out first,
// and tells what it does in events, of which some are lost.
type prefixCache struct {
	limit  int
	used   int
	tokens map[uint64]int
	recent []uint64 // least recently used first
	random *rand.Rand
	events []CacheEvent
	next   uint64
	hits   int
	misses int
}

// CacheEvent tells that a prefix was stored or removed.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Removed  bool   `json:"removed"`
}

const (
	// eventLossShare is the share of cache events that are never published.
	eventLossShare = 0.01
	maxCacheEvents = 1024
)

func newPrefixCache(limit int, random *rand.Rand) *prefixCache {
	return &prefixCache{limit: limit, tokens: make(map[uint64]int), random: random}
}

// use looks a prefix up, stores it and returns how many tokens were missing.
func (c *prefixCache) use(prefix uint64, tokens int) int {
	cached := c.tokens[prefix]
	if at := slices.Index(c.recent, prefix); at >= 0 {
		c.recent = slices.Delete(c.recent, at, at+1)
	}
	missing := max(tokens-cached, 0)
	if cached > 0 {
		c.hits++
	} else {
		c.misses++
		c.publish(prefix, false)
	}
	c.recent = append(c.recent, prefix)
	c.tokens[prefix] = max(tokens, cached)
	c.used += c.tokens[prefix] - cached
	for c.used > c.limit && len(c.recent) > 1 {
		oldest := c.recent[0]
		c.recent = c.recent[1:]
		c.used -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.publish(oldest, true)
	}
	return missing
}

// clear empties the cache, as new weights make every entry useless.
func (c *prefixCache) clear() {
	for _, prefix := range c.recent {
		c.publish(prefix, true)
	}
	clear(c.tokens)
	c.recent = nil
	c.used = 0
}

func (c *prefixCache) publish(prefix uint64, removed bool) {
	c.next++
	if c.random.Float64() < eventLossShare {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.next, Prefix: prefix, Removed: removed})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) eventsFrom(sequence uint64) []CacheEvent {
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence >= sequence {
			found = append(found, event)
		}
	}
	return found
}
