package feed

import (
	"context"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

// neighborWatch ends a first read over a link between regions once a ready entry of the region has all
// rows. The reads of many entries that start together would otherwise share the link and all end late.
type neighborWatch struct {
	follower  *Follower
	cancel    context.CancelFunc
	abandoned bool
}

// abandonForNeighbor starts a watch if this is an entry's first read and no ready entry of its region is
// known. The returned function stops it and reports whether the read was abandoned.
func (f *Follower) abandonForNeighbor(cancel context.CancelFunc) func() bool {
	if !f.isStarting() || f.options.Identity.Role != hosts.RoleEntry {
		return func() bool { return false }
	}
	if _, ok := f.options.Identity.NearestFirst(f.options.Entries()); ok {
		return func() bool { return false }
	}
	w := &neighborWatch{follower: f, cancel: cancel}
	g := shell.NewGroup()
	g.Go(w.run)
	return func() bool {
		g.Stop()
		return w.abandoned
	}
}

func (w *neighborWatch) run(ctx context.Context) {
	o := w.follower.options
	for clocks.Sleep(ctx, startInterval) {
		if _, ok := o.Identity.NearestFirst(o.Entries()); ok {
			w.abandoned = true
			w.cancel()
			return
		}
	}
}
