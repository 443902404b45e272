package engine

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the length of the request body that identifies a prefix.
	prefixBytes = 256
	// maxPrefixes bounds the cache, maxChanges the changes that are reported.
	maxPrefixes = 64
	maxChanges  = 64
)

// change is an addition or removal as the state of the engine reports it.
type change struct {
	Prefix  string `json:"prefix"`
	Dropped bool   `json:"dropped,omitempty"`
}

// prefixCache imitates the prefix cache of an engine. The zero value is empty.
type prefixCache struct {
	mutex sync.Mutex
	// prefixes holds hashes, least recently used first.
	prefixes []uint64
	serial   uint64
	changes  []change
}

func (c *prefixCache) touch(body []byte) {
	prefix := xxhash.Sum64(body[:min(len(body), prefixBytes)])
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordChange(prefix, false)
	if len(c.prefixes) > maxPrefixes {
		c.recordChange(c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
}

func (c *prefixCache) recordChange(prefix uint64, dropped bool) {
	c.serial++
	c.changes = append(c.changes, change{Prefix: strconv.FormatUint(prefix, 16), Dropped: dropped})
	if len(c.changes) > maxChanges {
		c.changes = slices.Delete(c.changes, 0, 1)
	}
}

func (c *prefixCache) snapshot() (uint64, []change) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.serial, slices.Clone(c.changes)
}
