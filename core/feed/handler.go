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
	// mostWait bounds how long a pull is held.
	mostWait = 5 * time.Second
	// pullBytes bounds the reply to a pull.
	pullBytes = 64 << 20
)

// Handler lets other processes pull from a mirror. It implements wire.FeedHandler.
type Handler struct{ mirror *Mirror }

// NewServiceHandler returns the handler of a mirror without a network around it.
func NewServiceHandler(m *Mirror) *Handler { return &Handler{mirror: m} }

// NewHandler returns the path and the handler of a mirror.
func NewHandler(m *Mirror) (string, http.Handler) {
	return wire.NewFeedHandler(NewServiceHandler(m), wire.WithLargeMessageCompression())
}

// Pull implements wire.FeedHandler.
func (h *Handler) Pull(ctx context.Context, r *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullReply], error) {
	began := clocks.Now()
	timer := time.NewTimer(min(time.Duration(r.Msg.Wait)*time.Millisecond, mostWait))
	defer timer.Stop()
	proven := h.mirror.ConfirmedAt()
	for {
		changed := h.mirror.Changed()
		u, ok := h.mirror.UpdateSince(state.Revision(r.Msg.After), r.Msg.Scope)
		if ok && (len(u.Rows) > 0 || r.Msg.After == 0 || r.Msg.Proofs && u.ConfirmedAt.After(proven) || lags(u)) {
			return connect.NewResponse(encodeUpdate(u, began)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if !ok {
				return nil, connect.NewError(connect.CodeUnavailable, errBehind)
			}
			return connect.NewResponse(encodeUpdate(u, began)), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// lags reports whether the process has lost the platform, so that a caller should look
// for another source at once.
func lags(u Update) bool { return clocks.Since(u.LastContact) > ContactTimeout }

func encodeUpdate(u Update, began time.Time) *wire.PullReply {
	now := clocks.Now()
	m := &wire.PullReply{
		Head: uint64(u.Head), Full: u.Full, Sum: u.Checksum, Held: now.Sub(began).Microseconds(), Proven: !u.ConfirmedAt.IsZero(),
	}
	if m.Proven {
		m.Age = now.Sub(u.ConfirmedAt).Microseconds()
	}
	m.Contact = now.Sub(u.LastContact).Microseconds()
	for _, r := range u.Rows {
		m.Rows = append(m.Rows, &wire.FeedRow{Key: r.Key, Revision: uint64(r.Revision), Value: r.Value, Gone: r.Value == nil})
	}
	return m
}
