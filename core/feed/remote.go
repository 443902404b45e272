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

var errNoNewerReplica = errors.New("the replica is empty or older than the requested revision")

// RemoteSource pulls from the mirror of another process. It implements Source.
type RemoteSource struct {
	client        wire.FeedClient
	scope         Scope
	confirmations bool
	mirror        *Mirror
}

// NewRemoteSource returns the mirror of the process at the address as a source. With
// confirmations set, a pull also returns when the replica is confirmed to be current
// again. The mirror is the replica that the updates are for.
func NewRemoteSource(client *http.Client, at netip.AddrPort, scope Scope, confirmations bool, m *Mirror) *RemoteSource {
	return &RemoteSource{
		client: wire.NewFeedClient(client, "http://"+at.String(), connect.WithReadMaxBytes(maxPullBytes)),
		scope:  scope, confirmations: confirmations, mirror: m,
	}
}

// Pull implements Source.
func (r *RemoteSource) Pull(ctx context.Context, after state.Revision, wait time.Duration) (Update, error) {
	requestedAt := clocks.Now()
	reply, err := r.client.Pull(ctx, connect.NewRequest(&wire.PullRequest{
		After: uint64(after), Wait: wait.Milliseconds(), Scope: r.scope, Proofs: r.confirmations, Retained: r.mirror.RetainedChecksum(r.scope),
	}))
	if err != nil {
		return Update{}, oops.In("feed").Wrap(err)
	}
	return DecodeUpdate(reply.Msg, requestedAt), nil
}

// DecodeUpdate decodes the response to a pull that was sent at the given time. The
// response holds the staleness as of its sending, which was no earlier than the request
// plus the time for which the pull was held.
func DecodeUpdate(m *wire.PullReply, requestedAt time.Time) Update {
	u := Update{Head: state.Revision(m.Head), Full: m.Full, Checksum: m.Sum, HasChecksum: true}
	if m.Proven {
		u.ConfirmedAt = requestedAt.Add(time.Duration(m.Held-m.Age) * time.Microsecond)
	}
	u.LastContact = requestedAt.Add(time.Duration(m.Held-m.Contact) * time.Microsecond)
	sentAt := requestedAt.Add(time.Duration(m.Held) * time.Microsecond)
	for _, r := range m.Rows {
		u.Rows = append(u.Rows, decodeRow(r, sentAt))
	}
	for _, k := range m.Retained {
		if k.Row != nil {
			u.Retained = append(u.Retained, RetainedRow{Row: decodeRow(k.Row, sentAt), Remaining: time.Duration(k.Remaining) * time.Microsecond})
		}
	}
	return u
}

// decodeRow decodes a row of a response that was sent at the given time or later.
func decodeRow(r *wire.FeedRow, sentAt time.Time) state.Row {
	row := state.Row{Key: r.Key, Revision: state.Revision(r.Revision), Value: r.Value}
	if r.Gone {
		row.Value = nil
	} else if row.Value == nil {
		row.Value = []byte{}
	}
	if r.Age > 0 {
		row.NotBefore = sentAt.Add(-time.Duration(r.Age) * time.Microsecond)
	}
	return row
}
