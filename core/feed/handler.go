package feed

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

const (
	// maxPullWait bounds how long a pull is held.
	maxPullWait = 5 * time.Second
	// maxPullBytes bounds the response to a pull.
	maxPullBytes = 64 << 20
)

// Handler serves pulls from a mirror. It implements wire.FeedHandler.
type Handler struct{ mirror *Mirror }

// NewServiceHandler returns the service of a mirror, to be called directly or mounted
// on a server.
func NewServiceHandler(m *Mirror) *Handler { return &Handler{mirror: m} }

// NewHandler returns the URL path and the HTTP handler of a mirror.
func NewHandler(m *Mirror) (string, http.Handler) {
	return wire.NewFeedHandler(NewServiceHandler(m), wire.WithLargeMessageCompression())
}

// Pull implements wire.FeedHandler.
func (h *Handler) Pull(ctx context.Context, r *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullReply], error) {
	startedAt := clocks.Now()
	timer := time.NewTimer(min(time.Duration(r.Msg.Wait)*time.Millisecond, maxPullWait))
	defer timer.Stop()
	lastConfirmed := h.mirror.ConfirmedAt()
	for {
		changed := h.mirror.Changed()
		u, ok := h.mirror.UpdateSince(state.Revision(r.Msg.After), r.Msg.Scope)
		if ok && (len(u.Rows) > 0 || r.Msg.After == 0 || r.Msg.Proofs && u.ConfirmedAt.After(lastConfirmed) || isStale(u)) {
			return h.reply(u, r.Msg, startedAt), nil
		}
		if r.Msg.Wait <= 0 {
			return h.replyWithoutNews(u, ok, r.Msg, startedAt)
		}
		select {
		case <-changed:
		case <-time.After(timeToStale(u)):
		case <-timer.C:
			return h.replyWithoutNews(u, ok, r.Msg, startedAt)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// replyWithoutNews responds to a pull whose wait is over.
func (h *Handler) replyWithoutNews(u Update, ok bool, m *wire.PullRequest, startedAt time.Time) (*connect.Response[wire.PullReply], error) {
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errNoNewerReplica)
	}
	return h.reply(u, m, startedAt), nil
}

// reply encodes an update, without retained rows that the caller keeps as well.
func (h *Handler) reply(u Update, m *wire.PullRequest, startedAt time.Time) *connect.Response[wire.PullReply] {
	if len(u.Retained) > 0 && h.mirror.RetainedChecksum(m.Scope) == m.Retained {
		u.Retained = nil
	}
	return connect.NewResponse(encodeUpdate(u, startedAt))
}

// isStale reports whether this process has lost contact with the platform, so that the
// requesting process should switch to another source at once.
func isStale(u Update) bool { return clocks.Since(u.LastContact) > ContactTimeout }

// timeToStale returns the time until an update without news becomes stale.
func timeToStale(u Update) time.Duration {
	return max(ContactTimeout-clocks.Since(u.LastContact), 0) + time.Millisecond
}

func encodeUpdate(u Update, startedAt time.Time) *wire.PullReply {
	now := clocks.Now()
	m := &wire.PullReply{
		Head: uint64(u.Head), Full: u.Full, Sum: u.Checksum, Held: now.Sub(startedAt).Microseconds(), Proven: !u.ConfirmedAt.IsZero(),
	}
	if m.Proven {
		m.Age = now.Sub(u.ConfirmedAt).Microseconds()
	}
	m.Contact = now.Sub(u.LastContact).Microseconds()
	for _, r := range u.Rows {
		m.Rows = append(m.Rows, encodeRow(r, now))
	}
	for _, k := range u.Retained {
		m.Retained = append(m.Retained, &wire.RetainedRow{Row: encodeRow(k.Row, now), Remaining: k.Remaining.Microseconds()})
	}
	return m
}

func encodeRow(r state.Row, now time.Time) *wire.FeedRow {
	row := &wire.FeedRow{Key: r.Key, Revision: uint64(r.Revision), Value: r.Value, Gone: r.Value == nil}
	if !r.NotBefore.IsZero() {
		row.Age = max(now.Sub(r.NotBefore).Microseconds(), 1)
	}
	return row
}
