package roster

import (
	"context"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

// selfPollInterval is the time between two checks of the list.
const selfPollInterval = 250 * time.Millisecond

// Lister returns the current list of hosts.
type Lister interface {
	Now() hosts.List
}

// SelfWatcher watches the state of the process's own host in the list of hosts.
type SelfWatcher struct {
	name   hosts.Name
	list   Lister
	listed func(leaving bool)
}

// NewSelfWatcher starts a watcher that calls listed with true when the list starts to
// give the host named name as leaving, and with false when it stops doing so. It polls
// the list until the clean-up function is called. A host that the list doesn't contain
// isn't leaving.
func NewSelfWatcher(name hosts.Name, list Lister, listed func(leaving bool)) (*SelfWatcher, func()) {
	o := &SelfWatcher{name: name, list: list, listed: listed}
	g := shell.NewGroup()
	g.Go(o.run)
	return o, g.Stop
}

func (w *SelfWatcher) run(ctx context.Context) {
	wasLeaving := false
	for ctx.Err() == nil {
		h, ok := w.list.Now().Find(w.name)
		if leaving := ok && h.State == hosts.StateLeaving; leaving != wasLeaving {
			w.listed(leaving)
			wasLeaving = leaving
		}
		select {
		case <-time.After(selfPollInterval):
		case <-ctx.Done():
		}
	}
}
