// Package cache holds the manifests and chunks of a process in memory. Every chunk in it
// has been verified against its digest.
package cache

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"currantport.example/core/chunks"
)

// ErrCorrupt is returned for bytes that don't match the expected digest.
var ErrCorrupt = errors.New("the bytes don't match the digest")

// Version is a version whose manifest the cache holds.
type Version struct {
	Digest   chunks.Digest
	Encoded  []byte
	Manifest *chunks.Manifest
	// Pieces are the distinct chunks in manifest order.
	Pieces []chunks.Piece
	// Sequence holds the digests of all chunks of the files in manifest order, with repetitions.
	Sequence []chunks.Digest
	// Layout lists the files, sorted by path.
	Layout []chunks.FileLayout

	frontier atomic.Int64
	failing  atomic.Bool
	index    map[chunks.Digest]uint32
	// arrived lists the held pieces in the order of their arrival. It only grows until
	// pieces are dropped, which replaces it and increments the epoch.
	arrived []uint32
	epoch   uint64
}

// History lists the held pieces of a version.
type History struct {
	// Epoch changes when pieces have been dropped.
	Epoch uint64
	// Arrived lists the held pieces in the order of their arrival. Callers must not change
	// it.
	Arrived []uint32
}

// History returns the history of the version.
func (c *Cache) History(v *Version) History {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return History{Epoch: v.epoch, Arrived: v.arrived}
}

// rebuildHistory replaces the history by the pieces that are held now.
func (c *Cache) rebuildHistory(v *Version) {
	v.epoch++
	v.arrived = nil
	for i, p := range v.Pieces {
		if _, ok := c.chunks[p.Digest]; ok {
			v.arrived = append(v.arrived, uint32(i))
		}
	}
}

// Frontier returns one above the highest piece that any process is known to hold.
func (v *Version) Frontier() int { return int(v.frontier.Load()) }

// Failing reports whether the process can't fetch pieces from outside now.
func (v *Version) Failing() bool { return v.failing.Load() }

// SetFailing sets whether the process can't fetch pieces from outside now.
func (v *Version) SetFailing(failing bool) { v.failing.Store(failing) }

// Cache holds manifests and chunks. It is safe for concurrent use.
type Cache struct {
	mutex sync.RWMutex
	// chunks holds verified bytes, which are never changed.
	chunks   map[chunks.Digest][]byte
	versions map[chunks.Digest]*Version
	// unverified holds the names of versions that aren't the digests of their manifests.
	unverified map[chunks.Digest]bool
	// changed is closed and replaced when something is added.
	changed chan struct{}
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{
		chunks: make(map[chunks.Digest][]byte), versions: make(map[chunks.Digest]*Version),
		unverified: make(map[chunks.Digest]bool),
		changed:    make(chan struct{}),
	}
}

// Changed returns a channel that is closed when something is added.
func (c *Cache) Changed() <-chan struct{} {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.changed
}

func (c *Cache) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// IsExpected reports whether the process is about to fetch a chunk that it doesn't hold: a
// version has the chunk, and fetching doesn't fail.
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

// RaiseFrontier raises the frontier of a version. A lower one is ignored.
func (c *Cache) RaiseFrontier(v *Version, frontier int) {
	if int64(frontier) <= v.frontier.Load() {
		return
	}
	v.frontier.Store(int64(frontier))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notifyChanged()
}

// AllowUnverified marks the name of a version whose manifest has no known digest.
// AddManifest then accepts any well-formed manifest for it.
func (c *Cache) AllowUnverified(digest chunks.Digest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unverified[digest] = true
}

func (c *Cache) allowsUnverified(digest chunks.Digest) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.unverified[digest]
}

// DropManifest drops the manifest of a version so that it can be fetched again. The chunks
// stay.
func (c *Cache) DropManifest(digest chunks.Digest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.versions, digest)
}

// AddManifest verifies, decodes and keeps an encoded manifest. It returns the version that
// is held already, if any. The errors are ErrCorrupt and *chunks.ManifestError.
func (c *Cache) AddManifest(digest chunks.Digest, encoded []byte) (*Version, error) {
	if !c.allowsUnverified(digest) && !chunks.Verify(digest, encoded) {
		return nil, ErrCorrupt
	}
	m, err := chunks.DecodeManifest(encoded)
	if err != nil {
		return nil, err
	}
	v := &Version{Digest: digest, Encoded: encoded, Manifest: m, Pieces: m.Pieces(digest), Sequence: m.Sequence(), Layout: m.Layout()}
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
	c.rebuildHistory(v)
	c.notifyChanged()
	return v, nil
}

// Version returns the version with the given name or manifest digest.
func (c *Cache) Version(digest chunks.Digest) (*Version, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	v, ok := c.versions[digest]
	return v, ok
}

// Add verifies and keeps a chunk, or returns ErrCorrupt. The cache owns the bytes
// afterwards.
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
	c.notifyChanged()
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

// Retain drops every version that isn't in the list, and every chunk that belongs to no
// remaining version.
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
		c.rebuildHistory(v)
	}
}

// Bytes returns the total size of the held chunks in bytes.
func (c *Cache) Bytes() int64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var sum int64
	for _, data := range c.chunks {
		sum += int64(len(data))
	}
	return sum
}
