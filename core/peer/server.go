// Package peer hands out manifests and chunks to other agents.
//
// # Uploads
//
// A Server sends a bounded number of chunks at once and lets a bounded number of
// calls wait; further ones are refused as busy, so that callers turn to others.
//
// # Watches
//
// A watch gets all that the process holds and then what came since, in batches.
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
	// uploadSlots is the number of chunks that are sent at once, liveSlots the same
	// beside live requests.
	uploadSlots = 3
	liveSlots   = 2
	// uploadQueue is the number of calls that may wait for a slot.
	uploadQueue = 6
	// offerInterval is the shortest time between two reports of a watch.
	offerInterval = 200 * time.Millisecond
	// IdleInterval is the longest time between two reports of a watch.
	IdleInterval = 5 * time.Second
)

var (
	// ErrMissing tells that the process doesn't hold what was asked for.
	ErrMissing = errors.New("this process doesn't hold it")
	// ErrFailing tells the same of a process that won't bring it either.
	ErrFailing = errors.New("this process doesn't hold it and won't bring it")
	// ErrStopped tells that the process is stopping.
	ErrStopped = errors.New("this process is stopping")
	// ErrBusy tells that too many calls wait already.
	ErrBusy = errors.New("this process sends too much already")
)

// Server hands out what a cache holds. Goroutines share it.
type Server struct {
	cache *cache.Cache
	// live reports whether the host is busy with live requests. It may be nil.
	live  func() bool
	slots chan struct{}
	// narrow holds the slots beside live requests, which are taken besides.
	narrow chan struct{}
	queue  atomic.Int32
	// stopped is closed by the clean-up function.
	stopped chan struct{}
	once    sync.Once
}

// NewServer returns a server of what the cache holds. It sends less at once while
// live says that the host is busy with live requests; live may be nil. The
// clean-up function ends the watches, which would otherwise keep a server from
// shutting down.
func NewServer(c *cache.Cache, live func() bool) (*Server, func()) {
	return NewServerWithSlots(c, live, uploadSlots)
}

// NewServerWithSlots returns a server that sends the given number of chunks at once.
func NewServerWithSlots(c *cache.Cache, live func() bool, slots int) (*Server, func()) {
	s := &Server{
		cache: c, live: live, slots: make(chan struct{}, slots), narrow: make(chan struct{}, liveSlots),
		stopped: make(chan struct{}),
	}
	return s, s.stop
}

// QueueLength returns the number of calls that wait or are sent to.
func (s *Server) QueueLength() int { return int(s.queue.Load()) }

func (s *Server) stop() { s.once.Do(func() { close(s.stopped) }) }

// Upload is a chunk or manifest that may be sent now.
type Upload struct {
	Data   []byte
	Waited time.Duration
	// QueueLength is the number of other calls that wait or are sent to.
	QueueLength int
}

// Chunk waits until a chunk may be sent. The clean-up function must be called
// once it has been sent.
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

// Manifest waits until a manifest may be sent, at most for the given time until
// the process holds it.
func (s *Server) Manifest(ctx context.Context, digest chunks.Digest, wait time.Duration) (*Upload, func(), error) {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	v := s.await(waiting, digest)
	if v == nil {
		return nil, nil, ErrMissing
	}
	return s.admit(ctx, v.Encoded)
}

// await returns the version once its manifest is held, or nil.
func (s *Server) await(ctx context.Context, digest chunks.Digest) *cache.Version {
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
	if int(s.queue.Add(1)) > cap(s.slots)+uploadQueue {
		s.queue.Add(-1)
		return nil, nil, ErrBusy
	}
	start := time.Now()
	slots, err := s.take(ctx)
	if err != nil {
		s.queue.Add(-1)
		return nil, nil, err
	}
	u := &Upload{Data: data, Waited: time.Since(start), QueueLength: int(s.queue.Load()) - 1}
	return u, func() { s.release(slots) }, nil
}

// take waits for a slot of each kind that is needed now.
func (s *Server) take(ctx context.Context) ([]chan struct{}, error) {
	needed := []chan struct{}{s.slots}
	if s.live != nil && s.live() {
		needed = []chan struct{}{s.narrow, s.slots}
	}
	for i, c := range needed {
		select {
		case c <- struct{}{}:
		case <-ctx.Done():
			giveBack(needed[:i])
			return nil, ctx.Err()
		}
	}
	return needed, nil
}

func giveBack(slots []chan struct{}) {
	for _, c := range slots {
		<-c
	}
}

func (s *Server) release(slots []chan struct{}) {
	giveBack(slots)
	s.queue.Add(-1)
}

// Watch reports what the process holds of a version until the context ends or
// send fails.
func (s *Server) Watch(ctx context.Context, manifest chunks.Digest, send func(swarm.Holdings) error) error {
	w := &watch{server: s, manifest: manifest}
	timer := time.NewTimer(IdleInterval)
	defer timer.Stop()
	for {
		changed := s.cache.Changed()
		if o, ok := w.next(); ok {
			if err := send(o); err != nil {
				return err
			}
			if err := s.pause(ctx); err != nil {
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

// watch is what one watcher has been told.
type watch struct {
	server   *Server
	manifest chunks.Digest
	epoch    uint64
	// sent is the number of pieces of the log that were reported.
	sent     int
	frontier int
	// idle tells that a report is due although nothing has changed.
	idle bool
}

// next returns the report that is due, if any.
func (w *watch) next() (swarm.Holdings, bool) {
	o := swarm.Holdings{QueueLength: int(w.server.queue.Load())}
	due := w.idle
	w.idle = false
	v, ok := w.server.cache.Version(w.manifest)
	if !ok {
		return o, due
	}
	log := w.server.cache.History(v)
	o.Frontier = v.Frontier()
	o.Full = log.Epoch != w.epoch
	due = due || o.Full || len(log.Arrived) > w.sent || o.Frontier > w.frontier
	if o.Full {
		w.epoch, w.sent = log.Epoch, 0
		o.Held = swarm.NewBits(len(v.Pieces))
	}
	for _, i := range log.Arrived[w.sent:] {
		if o.Full {
			o.Held.Set(int(i))
			continue
		}
		o.Added = append(o.Added, int(i))
	}
	w.sent, w.frontier = len(log.Arrived), o.Frontier
	return o, due
}

// pause spaces the reports of a watch.
func (s *Server) pause(ctx context.Context) error {
	t := time.NewTimer(offerInterval)
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
