package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

// maxHold bounds how long a reply is held for news.
const maxHold = 10 * time.Second

// NewHandler returns the path and the handler of the calls to a node.
func NewHandler(n *Node) (string, http.Handler) {
	return wire.NewRelayHandler(n, wire.WithLargeMessageCompression())
}

// Sync implements wire.RelayHandler. The reply is held for the time that the
// caller allows while there is nothing that the caller lacks.
func (n *Node) Sync(ctx context.Context, r *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncReply], error) {
	reply, err := n.Reply(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(reply), nil
}

// Reply answers a request as Sync does.
func (n *Node) Reply(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxHold)
	over := time.NewTimer(wait)
	defer over.Stop()
	for first := true; ; first = false {
		news := n.state.Changed()
		reply, ahead := n.state.BuildReply(r, time.Now())
		reply.Cut = n.isCut(time.Now())
		if ahead && first {
			n.hints.TrySend(hosts.Name(r.Host))
		}
		if len(reply.Parts) > 0 || wait <= 0 {
			return reply, nil
		}
		select {
		case <-news:
		case <-over.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Client carries requests to other processes.
type Client interface {
	Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error)
}

// httpClient is the Caller over the network.
type httpClient struct{ http *http.Client }

// NewClient returns a Caller that uses the client.
func NewClient(c *http.Client) Client { return httpClient{http: c} }

// Sync implements Caller.
func (c httpClient) Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error) {
	a, err := wire.NewRelayClient(c.http, "http://"+to.Address.String()).Sync(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}
