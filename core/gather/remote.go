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

var errLong = errors.New("longer than asked for")

// remote reaches the agents of other hosts.
type remote struct{ client *http.Client }

func (r *remote) at(address netip.AddrPort) wire.PeerClient {
	return wire.NewPeerClient(r.client, "http://"+address.String(), connect.WithAcceptCompression("gzip", nil, nil))
}

// manifest returns the encoded manifest of a version.
func (r *remote) manifest(ctx context.Context, at netip.AddrPort, name chunks.Digest, wait time.Duration) ([]byte, error) {
	s, err := r.at(at).Manifest(ctx, connect.NewRequest(&wire.ManifestRequest{Digest: name.String(), Wait: wait.Milliseconds()}))
	if err != nil {
		return nil, err
	}
	return collect(s, chunks.MaxManifestBytes)
}

// chunk returns the bytes of a chunk, which aren't checked.
func (r *remote) chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, most int64) ([]byte, error) {
	s, err := r.at(at).Chunk(ctx, connect.NewRequest(&wire.ChunkRequest{Digest: digest.String()}))
	if err != nil {
		return nil, err
	}
	return collect(s, most)
}

func collect(s *connect.ServerStreamForClient[wire.ChunkReply], most int64) ([]byte, error) {
	defer func() { _ = s.Close() }()
	var data []byte
	for s.Receive() {
		data = append(data, s.Msg().Data...)
		if int64(len(data)) > most {
			return nil, errLong
		}
	}
	return data, s.Err()
}

// causeOf returns what the failure of a transfer says of the peer.
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
