package gather

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/chunks"
	"currantport.example/core/sched"
	"currantport.example/core/wire"
)

var errTooLong = errors.New("response is longer than the requested piece or manifest")

// peerClient sends requests to the peer servers of other processes.
type peerClient struct{ client *http.Client }

func (c *peerClient) clientFor(address netip.AddrPort) wire.PeerClient {
	return wire.NewPeerClient(c.client, "http://"+address.String(), connect.WithAcceptCompression("gzip", nil, nil))
}

// manifest returns the encoded manifest of a version. It isn't verified.
func (c *peerClient) manifest(ctx context.Context, at netip.AddrPort, name chunks.Digest, wait time.Duration) ([]byte, error) {
	s, err := c.clientFor(at).Manifest(ctx, connect.NewRequest(&wire.ManifestRequest{Digest: name.String(), Wait: wait.Milliseconds()}))
	if err != nil {
		return nil, err
	}
	return readAll(s, chunks.MaxManifestBytes)
}

// chunk returns the bytes of a chunk. They aren't verified.
func (c *peerClient) chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, maxBytes int64) ([]byte, error) {
	s, err := c.clientFor(at).Chunk(ctx, connect.NewRequest(&wire.ChunkRequest{Digest: digest.String()}))
	if err != nil {
		return nil, err
	}
	return readAll(s, maxBytes)
}

func readAll(s *connect.ServerStreamForClient[wire.ChunkReply], maxBytes int64) ([]byte, error) {
	defer func() { _ = s.Close() }()
	var data []byte
	for s.Receive() {
		data = append(data, s.Msg().Data...)
		if int64(len(data)) > maxBytes {
			return nil, errTooLong
		}
	}
	return data, s.Err()
}

// causeOf returns the cause that the error of a transfer stands for.
func causeOf(err error) sched.Cause {
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		return sched.CauseBusy
	case connect.CodeNotFound, connect.CodeFailedPrecondition:
		return sched.CauseMissing
	default:
		return sched.CauseUnavailable
	}
}
