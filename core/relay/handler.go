package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

// maxHoldTimeout bounds how long a reply is held while there is nothing new.
const maxHoldTimeout = 10 * time.Second

// NewHandler returns the path prefix and the HTTP handler of a node's RPCs.
func NewHandler(n *Node) (string, http.Handler) {
	return wire.NewRelayHandler(n, wire.WithLargeMessageCompression())
}

// Sync implements wire.RelayHandler. While there is nothing that the sender lacks, it
// holds the reply for the time that the request allows.
func (n *Node) Sync(ctx context.Context, r *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncReply], error) {
	reply, err := n.Reply(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(reply), nil
}

// Reply handles a request like Sync, without the RPC framing.
func (n *Node) Reply(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	wait := min(time.Duration(r.Wait)*time.Millisecond, maxHoldTimeout)
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for first := true; ; first = false {
		changed := n.state.Changed()
		reply, ahead := n.state.BuildReply(r, time.Now())
		reply.Cut = n.isIsolated(time.Now())
		if ahead && first {
			n.aheadHosts.TrySend(hosts.Name(r.Host))
		}
		if len(reply.Parts) > 0 || wait <= 0 {
			return reply, nil
		}
		select {
		case <-changed:
		case <-expired.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Client sends requests to other processes.
type Client interface {
	Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error)
}

// httpClient is a Client over the network.
type httpClient struct{ http *http.Client }

// NewClient returns a Client that uses the given HTTP client.
func NewClient(c *http.Client) Client { return httpClient{http: c} }

// Sync implements Client.
func (c httpClient) Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error) {
	a, err := wire.NewRelayClient(c.http, "http://"+to.Address.String()).Sync(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}
