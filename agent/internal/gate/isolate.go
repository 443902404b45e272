package gate

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
)

// exclusiveTimeout bounds how long an exclusive request waits for the others to
// end, and so how long those that come later wait for it to start.
const exclusiveTimeout = 2 * time.Second

// isolator runs requests either concurrently or one of them exclusively. It also
// tracks the epochs of the upstream: a new one begins when the upstream is lost.
type isolator struct {
	mutex  sync.Mutex
	shared int
	// exclusive is set while one request runs exclusively or waits for the others
	// to end.
	exclusive bool
	// epoch identifies the time since the last loss of the upstream.
	epoch calls.ID
	// changed is closed and replaced whenever waiting requests must check again.
	changed chan struct{}
}

func newIsolator() *isolator { return &isolator{epoch: newEpoch(), changed: make(chan struct{})} }

func newEpoch() calls.ID { return calls.ID(uuid.NewString()) }

// currentEpoch returns the epoch in which a run begins.
func (i *isolator) currentEpoch() calls.ID {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.epoch
}

// endEpoch starts a new epoch unless another run of the same epoch has done so.
func (i *isolator) endEpoch(epoch calls.ID) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.epoch == epoch {
		i.epoch = newEpoch()
	}
}

// acquire waits until the request may run. It reports false if the context ends
// first or, for an exclusive request, exclusiveTimeout passes. After true, release
// must follow.
func (i *isolator) acquire(ctx context.Context, exclusive bool) bool {
	if !exclusive {
		return i.await(ctx, i.tryShared)
	}
	ctx, cancel := context.WithTimeout(ctx, exclusiveTimeout)
	defer cancel()
	if !i.await(ctx, i.tryExclusive) {
		return false
	}
	if i.await(ctx, i.isIdle) {
		return true
	}
	i.release(true)
	return false
}

func (i *isolator) release(exclusive bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if exclusive {
		i.exclusive = false
	} else {
		i.shared--
	}
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *isolator) tryShared() bool {
	if i.exclusive {
		return false
	}
	i.shared++
	return true
}

func (i *isolator) tryExclusive() bool {
	if i.exclusive {
		return false
	}
	i.exclusive = true
	return true
}

func (i *isolator) isIdle() bool { return i.shared == 0 }

// await calls try, with the mutex held, until it succeeds or the context ends.
func (i *isolator) await(ctx context.Context, try func() bool) bool {
	for {
		i.mutex.Lock()
		ok, changed := try(), i.changed
		i.mutex.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
