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
	ringLength     = 256
	spreadTimeout  = time.Second
	spreadTries    = 3
	spreadCalls    = 32
	exchangePeriod = 5 * time.Second
)

// Roster tells which hosts the platform lists.
type Roster interface {
	Now() hosts.List
}

// BroadcasterOptions are the parts of a Spreader.
type BroadcasterOptions struct {
	Host     hosts.Name
	Registry *SharedRegistry
	Roster   Roster
	Client   *http.Client
	// Exchange tells to ask another entry for its marks now and then.
	Exchange bool
	Log      *zap.Logger
}

// Broadcaster tells the entries of new marks. It implements wire.BlamesHandler.
type Broadcaster struct {
	options BroadcasterOptions
	news    *rings.Ring[Mark]
}

// NewBroadcaster returns a spreader that runs until the clean-up function is
// called.
func NewBroadcaster(o BroadcasterOptions) (*Broadcaster, func()) {
	s := &Broadcaster{options: o, news: rings.New[Mark](ringLength)}
	g := shell.NewGroup()
	g.Go(s.run)
	if o.Exchange {
		g.Go(s.loop)
	}
	return s, g.Stop
}

// Broadcast tells all entries of marks. Marks that find no room in the queue reach
// them by the exchange between entries.
func (s *Broadcaster) Broadcast(all ...Mark) {
	for _, m := range all {
		s.news.TrySend(m)
	}
}

// Exchange implements wire.BlamesHandler.
func (s *Broadcaster) Exchange(_ context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeReply], error) {
	s.options.Registry.Merge(Decode(r.Msg.Marks), r.Msg.Host)
	reply := &wire.ExchangeReply{}
	if r.Msg.All {
		reply.Marks = Encode(s.options.Registry.ActiveMarks())
	}
	return connect.NewResponse(reply), nil
}

// run sends news to the entries.
func (s *Broadcaster) run(ctx context.Context) {
	for {
		first, ok := s.news.Receive(ctx)
		if !ok {
			return
		}
		marks := []Mark{first}
		for range s.news.Len() {
			m, _ := s.news.Receive(ctx)
			marks = append(marks, m)
		}
		var group sync.WaitGroup
		slots := make(chan struct{}, spreadCalls)
		for _, h := range s.entries() {
			t := &teller{spreader: s, host: h, marks: marks, slots: slots}
			slots <- struct{}{}
			group.Go(func() { t.run(ctx) })
		}
		group.Wait()
	}
}

// loop exchanges all marks with one entry at a time.
func (s *Broadcaster) loop(ctx context.Context) {
	for {
		if all := s.entries(); len(all) > 0 {
			t := &teller{spreader: s, host: all[rand.IntN(len(all))]}
			t.exchange(ctx)
		}
		select {
		case <-time.After(exchangePeriod/2 + rand.N(exchangePeriod)):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Broadcaster) entries() []hosts.Host {
	var all []hosts.Host
	for _, h := range s.options.Roster.Now().WithRole(hosts.RoleEntry) {
		if h.Name != s.options.Host {
			all = append(all, h)
		}
	}
	return all
}

// teller tells one entry.
type teller struct {
	spreader *Broadcaster
	host     hosts.Host
	marks    []Mark
	slots    chan struct{}
}

func (t *teller) run(ctx context.Context) {
	defer func() { <-t.slots }()
	for range spreadTries {
		_, err := t.call(ctx, &wire.ExchangeRequest{Host: string(t.spreader.options.Host), Marks: Encode(t.marks)})
		if err == nil || ctx.Err() != nil {
			return
		}
		t.spreader.options.Log.Warn("mark-unspread", zap.String("host", string(t.host.Name)), zap.Error(err))
	}
}

func (t *teller) exchange(ctx context.Context) {
	book := t.spreader.options.Registry
	r, err := t.call(ctx, &wire.ExchangeRequest{Host: string(t.spreader.options.Host), Marks: Encode(book.ActiveMarks()), All: true})
	if err == nil {
		book.Merge(Decode(r.Marks), string(t.host.Name))
	}
}

func (t *teller) call(ctx context.Context, m *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	c := wire.NewBlamesClient(t.spreader.options.Client, "http://"+t.host.Address.String())
	r, err := c.Exchange(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}
