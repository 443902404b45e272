// Package cache holds the chunks of an agent in memory. Every chunk in it has
// been checked against its digest.
package cache

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"currantport.example/core/chunks"
)

// ErrCorrupt tells that bytes don't have the digest that was asked for.
var ErrCorrupt = errors.New("the chunk doesn't have its digest")

// Version is a version whose manifest the agent holds.
type Version struct {
	Digest   chunks.Digest
	Encoded  []byte
	Manifest *chunks.Manifest
	// Pieces are the distinct chunks in manifest order.
	Pieces []chunks.Piece
	// Layout lists the files by path.
	Layout []chunks.FileLayout

	frontier atomic.Int64
	failing  atomic.Bool
	index    map[chunks.Digest]uint32
	// arrived lists the held pieces in the order in which they came. It only
	// grows until pieces are dropped, which replaces it and raises the epoch.
	arrived []uint32
	epoch   uint64
}

// History is what has come of a version.
type History struct {
	// Epoch changes when pieces were dropped.
	Epoch uint64
	// Arrived lists the held pieces in the order in which they came. Callers
	// must not change it.
	Arrived []uint32
}

// History returns what has come of the version.
func (c *Cache) History(v *Version) History {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return History{Epoch: v.epoch, Arrived: v.arrived}
}

// refill lists the held pieces anew.
func (c *Cache) refill(v *Version) {
	v.epoch++
	v.arrived = nil
	for i, p := range v.Pieces {
		if _, ok := c.chunks[p.Digest]; ok {
			v.arrived = append(v.arrived, uint32(i))
		}
	}
}

// Frontier returns one above the highest piece that the fleet is known to hold.
func (v *Version) Frontier() int { return int(v.frontier.Load()) }

// Failing reports whether the process can't bring pieces from outside now.
func (v *Version) Failing() bool { return v.failing.Load() }

// SetFailing tells whether the process can't bring pieces from outside now.
func (v *Version) SetFailing(failing bool) { v.failing.Store(failing) }

// Cache holds manifests and chunks. Goroutines share it.
type Cache struct {
	mutex sync.RWMutex
	// chunks holds checked bytes only, which are never changed.
	chunks   map[chunks.Digest][]byte
	versions map[chunks.Digest]*Version
	// named holds what names a version and isn't the digest of its manifest.
	named map[chunks.Digest]bool
	// changed is closed and replaced whenever something was added.
	changed chan struct{}
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{
		chunks: make(map[chunks.Digest][]byte), versions: make(map[chunks.Digest]*Version),
		named:   make(map[chunks.Digest]bool),
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed when something is added.
func (c *Cache) Changed() <-chan struct{} {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.changed
}

func (c *Cache) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// IsExpected reports whether the process is about to bring a chunk that it doesn't
// hold: a version names it, and the source doesn't fail.
func (c *Cache) IsExpected(digest chunks.Digest) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	for _, v := range c.versions {
		if _, ok := v.index[digest]; ok && !v.Failing() {
			return true
		}
	}
	return false
}

// RaiseFrontier records that the fleet holds a piece below the frontier.
func (c *Cache) RaiseFrontier(v *Version, frontier int) {
	if int64(frontier) <= v.frontier.Load() {
		return
	}
	v.frontier.Store(int64(frontier))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.announce()
}

// AllowUnverified tells that a digest names a version whose manifest isn't known beforehand, so
// that any well-formed manifest is taken for it.
func (c *Cache) AllowUnverified(digest chunks.Digest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.named[digest] = true
}

func (c *Cache) isNamed(digest chunks.Digest) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.named[digest]
}

// DropManifest drops the manifest of a version, so that it is brought again. The chunks
// stay.
func (c *Cache) DropManifest(digest chunks.Digest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.versions, digest)
}

// AddManifest checks and keeps an encoded manifest.
func (c *Cache) AddManifest(digest chunks.Digest, encoded []byte) (*Version, error) {
	if !c.isNamed(digest) && !chunks.Verify(digest, encoded) {
		return nil, ErrCorrupt
	}
	m, err := chunks.DecodeManifest(encoded)
	if err != nil {
		return nil, err
	}
	v := &Version{Digest: digest, Encoded: encoded, Manifest: m, Pieces: m.Pieces(digest), Layout: m.Layout()}
	slices.SortFunc(v.Layout, func(a, b chunks.FileLayout) int { return cmp.Compare(a.Path, b.Path) })
	v.index = make(map[chunks.Digest]uint32, len(v.Pieces))
	for i, p := range v.Pieces {
		v.index[p.Digest] = uint32(i)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.versions[digest]; known != nil {
		return known, nil
	}
	c.versions[digest] = v
	c.refill(v)
	c.announce()
	return v, nil
}

// Version returns the version with the given manifest digest.
func (c *Cache) Version(digest chunks.Digest) (*Version, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	v, ok := c.versions[digest]
	return v, ok
}

// Add checks and keeps a chunk. The cache owns the bytes afterwards.
func (c *Cache) Add(digest chunks.Digest, data []byte) error {
	if !chunks.Verify(digest, data) {
		return ErrCorrupt
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.chunks[digest]; ok {
		return nil
	}
	c.chunks[digest] = data
	for _, v := range c.versions {
		if i, ok := v.index[digest]; ok {
			v.arrived = append(v.arrived, i)
		}
	}
	c.announce()
	return nil
}

// Chunk returns the bytes of a chunk. Callers must not change them.
func (c *Cache) Chunk(digest chunks.Digest) ([]byte, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	data, ok := c.chunks[digest]
	return data, ok
}

// Held reports for each piece of the version whether the cache holds it.
func (c *Cache) Held(v *Version) []bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	held := make([]bool, len(v.Pieces))
	for i, p := range v.Pieces {
		_, held[i] = c.chunks[p.Digest]
	}
	return held
}

// Retain drops every version that isn't in the list, and every chunk that no
// remaining version holds.
func (c *Cache) Retain(keep []chunks.Digest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := make(map[chunks.Digest]*Version)
	wanted := make(map[chunks.Digest]bool)
	for _, d := range keep {
		v, ok := c.versions[d]
		if !ok {
			continue
		}
		kept[d] = v
		for _, p := range v.Pieces {
			wanted[p.Digest] = true
		}
	}
	c.versions = kept
	for d := range c.chunks {
		if !wanted[d] {
			delete(c.chunks, d)
		}
	}
	for _, v := range c.versions {
		c.refill(v)
	}
}

// Bytes returns the size of the chunks that the cache holds.
func (c *Cache) Bytes() int64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var sum int64
	for _, data := range c.chunks {
		sum += int64(len(data))
	}
	return sum
}
