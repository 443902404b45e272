package shell

import (
	"context"
	"sync"
)

// Group runs the background tasks of a component until it is stopped. Each task is a
// method named run or loop of its owner.
type Group struct {
	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// NewGroup returns a group without tasks.
func NewGroup() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{context: ctx, cancel: cancel}
}

// Go starts a task. Its context is canceled when the group is stopped.
func (g *Group) Go(run func(ctx context.Context)) {
	g.tasks.Go(func() { run(g.context) })
}

// Stop cancels the context of all tasks and waits until they have returned.
func (g *Group) Stop() {
	g.cancel()
	g.tasks.Wait()
}
