package emulator

import (
	"math/rand/v2"
	"slices"
)

// prefixCache is an LRU cache of prompt prefixes, limited by their total number
// of tokens. It publishes an event for each change, of which some are lost.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	tokens         map[uint64]int
	lruOrder       []uint64 // least recently used prefix first
	random         *rand.Rand
	events         []CacheEvent
	lastSequence   uint64
	hits           int
	misses         int
}

// CacheEvent reports that a prefix was stored in or removed from an engine's
// prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Removed  bool   `json:"removed"`
}

const (
	// eventLossShare is the share of cache events that are never published.
	eventLossShare = 0.01
	// maxCacheEvents is how many events an engine retains for readers.
	maxCacheEvents = 1024
)

func newPrefixCache(capacityTokens int, random *rand.Rand) *prefixCache {
	return &prefixCache{capacityTokens: capacityTokens, tokens: make(map[uint64]int), random: random}
}

// lookupAndStore marks a prefix as most recently used, stores it and evicts
// others to stay within the capacity. It returns how many of the prefix's tokens
// were not cached.
func (c *prefixCache) lookupAndStore(prefix uint64, tokens int) int {
	cached := c.tokens[prefix]
	if index := slices.Index(c.lruOrder, prefix); index >= 0 {
		c.lruOrder = slices.Delete(c.lruOrder, index, index+1)
	}
	missing := max(tokens-cached, 0)
	if cached > 0 {
		c.hits++
	} else {
		c.misses++
		c.publish(prefix, false)
	}
	c.lruOrder = append(c.lruOrder, prefix)
	c.tokens[prefix] = max(tokens, cached)
	c.usedTokens += c.tokens[prefix] - cached
	for c.usedTokens > c.capacityTokens && len(c.lruOrder) > 1 {
		oldest := c.lruOrder[0]
		c.lruOrder = c.lruOrder[1:]
		c.usedTokens -= c.tokens[oldest]
		delete(c.tokens, oldest)
		c.publish(oldest, true)
	}
	return missing
}

// clear removes all entries. New weights invalidate every cached prefix.
func (c *prefixCache) clear() {
	for _, prefix := range c.lruOrder {
		c.publish(prefix, true)
	}
	clear(c.tokens)
	c.lruOrder = nil
	c.usedTokens = 0
}

// publish assigns the next sequence number to an event and retains the event,
// unless it is lost.
func (c *prefixCache) publish(prefix uint64, removed bool) {
	c.lastSequence++
	if c.random.Float64() < eventLossShare {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Prefix: prefix, Removed: removed})
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
