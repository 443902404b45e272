package fetch

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/chunks"
	"currantport.example/core/peer"
	"currantport.example/core/swarm"
	"currantport.example/core/wire"
)

// Delivery is a chunk that a peer has sent. The bytes aren't checked.
type Delivery struct {
	Data   []byte
	Timing swarm.Timing
}

// Peers reaches the agents of other hosts. Its errors wrap those of package
// peer where the peer has answered with one.
type Peers interface {
	// Manifest returns an encoded manifest. It waits at most for the given time
	// until the peer holds it.
	Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error)
	// Watch passes on what the peer holds of a version until the context ends or
	// the peer falls silent. The pieces are as many as given.
	Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, heard func(swarm.Holdings)) error
	// Chunk returns a chunk of at most the given length.
	Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, most int64) (Delivery, error)
}

var errLong = errors.New("longer than asked for")

// RemotePeers reaches peers over the network. It implements Peers.
type RemotePeers struct{ client *http.Client }

// NewRemotePeers returns peers that the client reaches.
func NewRemotePeers(client *http.Client) *RemotePeers { return &RemotePeers{client: client} }

func (r *RemotePeers) at(address netip.AddrPort) wire.PeerClient {
	return wire.NewPeerClient(r.client, "http://"+address.String(), connect.WithAcceptCompression("gzip", nil, nil))
}

// Manifest implements Peers.
func (r *RemotePeers) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	s, err := r.at(at).Manifest(ctx, connect.NewRequest(&wire.ManifestRequest{Digest: digest.String(), Wait: wait.Milliseconds()}))
	if err != nil {
		return nil, decodeError(err)
	}
	d, err := collect(s, time.Now(), chunks.MaxManifestBytes)
	return d.Data, err
}

// Watch implements Peers.
func (r *RemotePeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, heard func(swarm.Holdings)) error {
	s, err := r.at(at).Watch(ctx, connect.NewRequest(&wire.HoldsRequest{Manifest: manifest.String()}))
	if err != nil {
		return decodeError(err)
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		heard(peer.DecodeOffer(s.Msg(), pieces))
	}
	return s.Err()
}

// Chunk implements Peers.
func (r *RemotePeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, most int64) (Delivery, error) {
	start := time.Now()
	s, err := r.at(at).Chunk(ctx, connect.NewRequest(&wire.ChunkRequest{Digest: digest.String()}))
	if err != nil {
		return Delivery{}, decodeError(err)
	}
	return collect(s, start, most)
}

func collect(s *connect.ServerStreamForClient[wire.ChunkReply], start time.Time, most int64) (Delivery, error) {
	defer func() { _ = s.Close() }()
	var d Delivery
	for s.Receive() {
		if d.Timing.FirstByte == 0 {
			d.Timing.FirstByte = time.Since(start)
			d.Timing.Waited = time.Duration(s.Msg().Waited) * time.Millisecond
			d.Timing.QueueLength = int(s.Msg().Queue)
		}
		d.Data = append(d.Data, s.Msg().Data...)
		if int64(len(d.Data)) > most {
			return Delivery{}, errLong
		}
	}
	d.Timing.Took = time.Since(start)
	return d, decodeError(s.Err())
}

func decodeError(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeNotFound:
		return errors.Join(peer.ErrMissing, err)
	case connect.CodeFailedPrecondition:
		return errors.Join(peer.ErrFailing, err)
	case connect.CodeResourceExhausted:
		return errors.Join(peer.ErrBusy, err)
	}
	return err
}
