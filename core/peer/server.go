// Package peer serves manifests and chunks to other processes.
//
// # Uploads
//
// A Server sends a bounded number of chunks at once and queues a bounded number of
// requests. Further ones are rejected as busy, so that the clients turn to other processes.
//
// # Watches
//
// A watch first receives everything that the process holds of a version, then what is
// added, in batches.
package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/swarm"
)

const (
	// uploadSlots is the maximum number of concurrent uploads, liveSlots the same during
	// live requests.
	uploadSlots = 3
	liveSlots   = 2
	// maxQueuedUploads is the maximum number of requests that wait for a slot.
	maxQueuedUploads = 6
	// minReportInterval is the minimum time between two reports of a watch.
	minReportInterval = 200 * time.Millisecond
	// IdleInterval is the maximum time between two reports of a watch.
	IdleInterval = 5 * time.Second
)

var (
	// ErrMissing is returned for a chunk or manifest that the process doesn't hold yet.
	ErrMissing = errors.New("this process doesn't hold it")
	// ErrFailing is returned for a chunk that the process neither holds nor is about to
	// fetch.
	ErrFailing = errors.New("this process doesn't hold it and won't bring it")
	// ErrStopped is returned while the process stops.
	ErrStopped = errors.New("this process is stopping")
	// ErrBusy is returned when the queue of uploads is full.
	ErrBusy = errors.New("this process sends too much already")
)

// Server serves the contents of a cache. It is safe for concurrent use.
type Server struct {
	cache *cache.Cache
	// live reports whether the host is busy with live requests. It may be nil.
	live  func() bool
	slots chan struct{}
	// liveSlots are the slots during live requests. An upload then needs one of them and
	// one of slots.
	liveSlots chan struct{}
	pending   atomic.Int32
	// stopped is closed by the clean-up function.
	stopped chan struct{}
	once    sync.Once
}

// NewServer returns a server of the cache. It sends fewer chunks at once while live reports
// that the host is busy with live requests; live may be nil. The clean-up function ends the
// watches, which would otherwise keep an HTTP server from shutting down.
func NewServer(c *cache.Cache, live func() bool) (*Server, func()) {
	return NewServerWithSlots(c, live, uploadSlots)
}

// NewServerWithSlots is NewServer with the given number of concurrent uploads.
func NewServerWithSlots(c *cache.Cache, live func() bool, slots int) (*Server, func()) {
	s := &Server{
		cache: c, live: live, slots: make(chan struct{}, slots), liveSlots: make(chan struct{}, liveSlots),
		stopped: make(chan struct{}),
	}
	return s, s.stop
}

// QueueLength returns the number of uploads that are waiting or in progress.
func (s *Server) QueueLength() int { return int(s.pending.Load()) }

func (s *Server) stop() { s.once.Do(func() { close(s.stopped) }) }

// Upload is a chunk or manifest that may be sent now.
type Upload struct {
	Data   []byte
	Waited time.Duration
	// QueueLength is the number of other uploads that are waiting or in progress.
	QueueLength int
}

// Chunk waits for a slot to send a chunk. The returned function must be called after the
// upload. The errors are ErrMissing, ErrFailing, ErrBusy and that of the context.
func (s *Server) Chunk(ctx context.Context, digest chunks.Digest) (*Upload, func(), error) {
	data, ok := s.cache.Chunk(digest)
	if ok {
		return s.admit(ctx, data)
	}
	if s.cache.IsExpected(digest) {
		return nil, nil, ErrMissing
	}
	return nil, nil, ErrFailing
}

// Manifest waits until the cache holds a manifest, at most for the given time, and then for
// a slot to send it. The returned function must be called after the upload. The errors are
// ErrMissing, ErrBusy and that of the context.
func (s *Server) Manifest(ctx context.Context, digest chunks.Digest, wait time.Duration) (*Upload, func(), error) {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v := s.awaitManifest(waiting, digest)
	if v == nil {
		return nil, nil, ErrMissing
	}
	return s.admit(ctx, v.Encoded)
}

// awaitManifest returns the version once its manifest is held, or nil when the context
// ends.
func (s *Server) awaitManifest(ctx context.Context, digest chunks.Digest) *cache.Version {
	for {
		changed := s.cache.Changed()
		if v, ok := s.cache.Version(digest); ok {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) admit(ctx context.Context, data []byte) (*Upload, func(), error) {
	if int(s.pending.Add(1)) > cap(s.slots)+maxQueuedUploads {
		s.pending.Add(-1)
		return nil, nil, ErrBusy
	}
	start := time.Now()
	slots, err := s.acquireSlots(ctx)
	if err != nil {
		s.pending.Add(-1)
		return nil, nil, err
	}
	u := &Upload{Data: data, Waited: time.Since(start), QueueLength: int(s.pending.Load()) - 1}
	return u, func() { s.release(slots) }, nil
}

// acquireSlots waits for a slot of each kind that is needed now.
func (s *Server) acquireSlots(ctx context.Context) ([]chan struct{}, error) {
	needed := []chan struct{}{s.slots}
	if s.live != nil && s.live() {
		needed = []chan struct{}{s.liveSlots, s.slots}
	}
	for i, c := range needed {
		select {
		case c <- struct{}{}:
		case <-ctx.Done():
			releaseSlots(needed[:i])
			return nil, ctx.Err()
		}
	}
	return needed, nil
}

func releaseSlots(slots []chan struct{}) {
	for _, c := range slots {
		<-c
	}
}

func (s *Server) release(slots []chan struct{}) {
	releaseSlots(slots)
	s.pending.Add(-1)
}

// Watch sends reports on what the process holds of a version until the context ends, the
// server stops or send fails. It returns the error.
func (s *Server) Watch(ctx context.Context, manifest chunks.Digest, send func(swarm.Holdings) error) error {
	w := &watch{server: s, manifest: manifest}
	timer := time.NewTimer(IdleInterval)
	defer timer.Stop()
	for {
		changed := s.cache.Changed()
		if h, ok := w.next(); ok {
			if err := send(h); err != nil {
				return err
			}
			if err := s.waitInterval(ctx); err != nil {
				return err
			}
			timer.Reset(IdleInterval)
			continue
		}
		select {
		case <-changed:
		case <-s.stopped:
			return ErrStopped
		case <-timer.C:
			w.idle = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watch is the state of one watch.
type watch struct {
	server   *Server
	manifest chunks.Digest
	epoch    uint64
	// sent is the number of pieces of the history that were reported.
	sent     int
	frontier int
	// idle is set when a report is due although nothing has changed.
	idle bool
}

// next returns the report that is due, if any.
func (w *watch) next() (swarm.Holdings, bool) {
	h := swarm.Holdings{QueueLength: int(w.server.pending.Load())}
	due := w.idle
	w.idle = false
	v, ok := w.server.cache.Version(w.manifest)
	if !ok {
		return h, due
	}
	history := w.server.cache.History(v)
	h.Frontier = v.Frontier()
	h.Full = history.Epoch != w.epoch
	due = due || h.Full || len(history.Arrived) > w.sent || h.Frontier > w.frontier
	if h.Full {
		w.epoch, w.sent = history.Epoch, 0
		h.Held = swarm.NewBits(len(v.Pieces))
	}
	for _, i := range history.Arrived[w.sent:] {
		if h.Full {
			h.Held.Set(int(i))
			continue
		}
		h.Added = append(h.Added, int(i))
	}
	w.sent, w.frontier = len(history.Arrived), h.Frontier
	return h, due
}

// waitInterval waits for minReportInterval between two reports of a watch.
func (s *Server) waitInterval(ctx context.Context) error {
	t := time.NewTimer(minReportInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
