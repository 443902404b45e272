package gate

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
)

// aloneWait bounds how long a suspect waits for the others to end, and with it
// how long others wait for the suspect to start.
const aloneWait = 2 * time.Second

// lanes let requests run beside each other or one of them alone.
type lanes struct {
	mutex   sync.Mutex
	running int
	// alone tells that one request runs alone or waits for the others to end.
	alone bool
	// life names the time since the upstream was lost last.
	life calls.ID
	// change is closed and replaced whenever a waiting request must look again.
	change chan struct{}
}

func newLanes() *lanes { return &lanes{life: newLife(), change: make(chan struct{})} }

func newLife() calls.ID { return calls.ID(uuid.NewString()) }

// current returns the life of the upstream that a run begins in.
func (l *lanes) current() calls.ID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.life
}

// lose ends the life of the upstream, once for all runs that began in it.
func (l *lanes) lose(life calls.ID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.life == life {
		l.life = newLife()
	}
}

// enter waits for room and reports whether there was any before the context
// ended. Leave must follow if so.
func (l *lanes) enter(ctx context.Context, alone bool) bool {
	if !alone {
		return l.await(ctx, l.join)
	}
	ctx, cancel := context.WithTimeout(ctx, aloneWait)
	defer cancel()
	if !l.await(ctx, l.claim) {
		return false
	}
	if l.await(ctx, l.isIdle) {
		return true
	}
	l.leave(true)
	return false
}

func (l *lanes) leave(alone bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if alone {
		l.alone = false
	} else {
		l.running--
	}
	close(l.change)
	l.change = make(chan struct{})
}

func (l *lanes) join() bool {
	if l.alone {
		return false
	}
	l.running++
	return true
}

func (l *lanes) claim() bool {
	if l.alone {
		return false
	}
	l.alone = true
	return true
}

func (l *lanes) isIdle() bool { return l.running == 0 }

// await tries until it succeeds or the context ends.
func (l *lanes) await(ctx context.Context, try func() bool) bool {
	for {
		l.mutex.Lock()
		ok, change := try(), l.change
		l.mutex.Unlock()
		if ok {
			return true
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		}
	}
}
