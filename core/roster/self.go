package roster

import (
	"context"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

const ownInterval = 250 * time.Millisecond

// Lister tells which hosts there are.
type Lister interface {
	Now() hosts.List
}

// SelfWatcher tells a process what the list says of its own host.
type SelfWatcher struct {
	name   hosts.Name
	list   Lister
	listed func(leaving bool)
}

// NewSelfWatcher calls listed whenever the list begins or ceases to name the host as
// leaving, until the clean-up function is called. A host that the list lacks
// isn't leaving.
func NewSelfWatcher(name hosts.Name, list Lister, listed func(leaving bool)) (*SelfWatcher, func()) {
	o := &SelfWatcher{name: name, list: list, listed: listed}
	g := shell.NewGroup()
	g.Go(o.run)
	return o, g.Stop
}

func (o *SelfWatcher) run(ctx context.Context) {
	was := false
	for ctx.Err() == nil {
		h, ok := o.list.Now().Find(o.name)
		if leaving := ok && h.State == hosts.StateLeaving; leaving != was {
			o.listed(leaving)
			was = leaving
		}
		select {
		case <-time.After(ownInterval):
		case <-ctx.Done():
		}
	}
}
