package feed

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

var errBehind = errors.New("this process has no copy, or an older one")

// RemoteSource pulls from the mirror of another process. It implements Source.
type RemoteSource struct {
	client wire.FeedClient
	scope  Scope
	proofs bool
}

// NewRemoteSource returns the mirror of the process at the address. Proofs asks for an
// update when the copy is proven anew too.
func NewRemoteSource(client *http.Client, at netip.AddrPort, scope Scope, proofs bool) *RemoteSource {
	return &RemoteSource{
		client: wire.NewFeedClient(client, "http://"+at.String(), connect.WithReadMaxBytes(pullBytes)),
		scope:  scope, proofs: proofs,
	}
}

// Pull implements Source.
func (r *RemoteSource) Pull(ctx context.Context, after state.Revision, wait time.Duration) (Update, error) {
	asked := clocks.Now()
	reply, err := r.client.Pull(ctx, connect.NewRequest(&wire.PullRequest{
		After: uint64(after), Wait: wait.Milliseconds(), Scope: r.scope, Proofs: r.proofs,
	}))
	if err != nil {
		return Update{}, oops.In("feed").Wrap(err)
	}
	return DecodeUpdate(reply.Msg, asked), nil
}

// DecodeUpdate maps the reply to a pull that was asked at the given time. The other process gave its age at a time that is no
// earlier than when it was asked plus how long it held the call.
func DecodeUpdate(m *wire.PullReply, asked time.Time) Update {
	u := Update{Head: state.Revision(m.Head), Full: m.Full, Checksum: m.Sum, HasChecksum: true}
	if m.Proven {
		u.ConfirmedAt = asked.Add(time.Duration(m.Held-m.Age) * time.Microsecond)
	}
	u.LastContact = asked.Add(time.Duration(m.Held-m.Contact) * time.Microsecond)
	for _, r := range m.Rows {
		row := state.Row{Key: r.Key, Revision: state.Revision(r.Revision), Value: r.Value}
		if r.Gone {
			row.Value = nil
		} else if row.Value == nil {
			row.Value = []byte{}
		}
		u.Rows = append(u.Rows, row)
	}
	return u
}
