package poison

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/rings"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const (
	queueCapacity      = 256
	callTimeout        = time.Second
	maxAttempts        = 3
	maxConcurrentCalls = 32
	exchangeInterval   = 5 * time.Second
)

// Roster lists the hosts of the fleet.
type Roster interface {
	Now() hosts.List
}

// BroadcasterOptions are the dependencies of a Broadcaster.
type BroadcasterOptions struct {
	Host     hosts.Name
	Registry *SharedRegistry
	Roster   Roster
	Client   *http.Client
	// Exchange enables the periodic exchange of all marks with a random entry.
	Exchange bool
	Log      *zap.Logger
}

// Broadcaster sends new marks to the entries. It implements wire.BlamesHandler.
type Broadcaster struct {
	options BroadcasterOptions
	queue   *rings.Ring[Mark]
}

// NewBroadcaster returns a broadcaster that runs until the clean-up function is called.
func NewBroadcaster(o BroadcasterOptions) (*Broadcaster, func()) {
	b := &Broadcaster{options: o, queue: rings.New[Mark](queueCapacity)}
	g := shell.NewGroup()
	g.Go(b.run)
	if o.Exchange {
		g.Go(b.loop)
	}
	return b, g.Stop
}

// Broadcast queues marks to be sent to all entries. It doesn't block: marks that don't fit in
// the queue are dropped and reach the entries through the periodic exchange.
func (b *Broadcaster) Broadcast(all ...Mark) {
	for _, m := range all {
		b.queue.TrySend(m)
	}
}

// Exchange implements wire.BlamesHandler. It merges the marks of the peer and, if requested,
// returns all marks that this process holds.
func (b *Broadcaster) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeReply], error) {
	b.options.Registry.Merge(Decode(r.Msg.Marks), r.Msg.Host)
	reply := &wire.ExchangeReply{}
	if r.Msg.All {
		reply.Marks = Encode(b.options.Registry.ActiveMarks())
	}
	return connect.NewResponse(reply), nil
}

// run sends queued marks to the entries.
func (b *Broadcaster) run(ctx context.Context) {
	for {
		first, ok := b.queue.Receive(ctx)
		if !ok {
			return
		}
		marks := []Mark{first}
		for range b.queue.Len() {
			m, _ := b.queue.Receive(ctx)
			marks = append(marks, m)
		}
		var group sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentCalls)
		for _, h := range b.entries() {
			n := &notifier{broadcaster: b, host: h, marks: marks, slots: slots}
			slots <- struct{}{}
			group.Go(func() { n.run(ctx) })
		}
		group.Wait()
	}
}

// loop exchanges all marks with one random entry per interval.
func (b *Broadcaster) loop(ctx context.Context) {
	for {
		if all := b.entries(); len(all) > 0 {
			n := &notifier{broadcaster: b, host: all[rand.IntN(len(all))]}
			n.exchange(ctx)
		}
		select {
		case <-time.After(exchangeInterval/2 + rand.N(exchangeInterval)):
		case <-ctx.Done():
			return
		}
	}
}

func (b *Broadcaster) entries() []hosts.Host {
	var all []hosts.Host
	for _, h := range b.options.Roster.Now().WithRole(hosts.RoleEntry) {
		if h.Name != b.options.Host {
			all = append(all, h)
		}
	}
	return all
}

// notifier sends marks to one entry.
type notifier struct {
	broadcaster *Broadcaster
	host        hosts.Host
	marks       []Mark
	slots       chan struct{}
}

func (n *notifier) run(ctx context.Context) {
	defer func() { <-n.slots }()
	for range maxAttempts {
		_, err := n.call(ctx, &wire.ExchangeRequest{Host: string(n.broadcaster.options.Host), Marks: Encode(n.marks)})
		if err == nil || ctx.Err() != nil {
			return
		}
		n.broadcaster.options.Log.Warn("mark-broadcast-failed", zap.String("host", string(n.host.Name)), zap.Error(err))
	}
}

func (n *notifier) exchange(ctx context.Context) {
	registry := n.broadcaster.options.Registry
	r, err := n.call(ctx, &wire.ExchangeRequest{Host: string(n.broadcaster.options.Host), Marks: Encode(registry.ActiveMarks()), All: true})
	if err == nil {
		registry.Merge(Decode(r.Marks), string(n.host.Name))
	}
}

func (n *notifier) call(ctx context.Context, m *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := wire.NewBlamesClient(n.broadcaster.options.Client, "http://"+n.host.Address.String())
	r, err := c.Exchange(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}
