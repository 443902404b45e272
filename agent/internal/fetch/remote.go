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

// Delivery is a chunk that a peer has sent. Its bytes aren't verified yet.
type Delivery struct {
	Data   []byte
	Timing swarm.Timing
}

// Peers reaches the agents of other hosts. Errors that a peer responds with wrap those of
// package peer.
type Peers interface {
	// Manifest returns an encoded manifest. The peer waits for it for up to the given time
	// if it doesn't hold it yet.
	Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error)
	// Watch calls receive with each report of the pieces of a version that the peer holds.
	// It returns when the context ends or the peer ends the stream. pieces is the number of
	// pieces of the version.
	Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, receive func(swarm.Holdings)) error
	// Chunk returns a chunk of at most maxBytes bytes.
	Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, maxBytes int64) (Delivery, error)
}

var errTooLong = errors.New("response is longer than the requested piece or manifest")

// RemotePeers reaches peers over the network. It implements Peers.
type RemotePeers struct{ client *http.Client }

// NewRemotePeers returns the peers that the client reaches.
func NewRemotePeers(client *http.Client) *RemotePeers { return &RemotePeers{client: client} }

func (r *RemotePeers) clientFor(address netip.AddrPort) wire.PeerClient {
	return wire.NewPeerClient(r.client, "http://"+address.String(), connect.WithAcceptCompression("gzip", nil, nil))
}

// Manifest implements Peers.
func (r *RemotePeers) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	s, err := r.clientFor(at).Manifest(ctx, connect.NewRequest(&wire.ManifestRequest{Digest: digest.String(), Wait: wait.Milliseconds()}))
	if err != nil {
		return nil, decodeError(err)
	}
	d, err := readAll(s, time.Now(), chunks.MaxManifestBytes)
	return d.Data, err
}

// Watch implements Peers.
func (r *RemotePeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, receive func(swarm.Holdings)) error {
	s, err := r.clientFor(at).Watch(ctx, connect.NewRequest(&wire.HoldsRequest{Manifest: manifest.String()}))
	if err != nil {
		return decodeError(err)
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		receive(peer.DecodeHoldings(s.Msg(), pieces))
	}
	return s.Err()
}

// Chunk implements Peers.
func (r *RemotePeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, maxBytes int64) (Delivery, error) {
	start := time.Now()
	s, err := r.clientFor(at).Chunk(ctx, connect.NewRequest(&wire.ChunkRequest{Digest: digest.String()}))
	if err != nil {
		return Delivery{}, decodeError(err)
	}
	return readAll(s, start, maxBytes)
}

func readAll(s *connect.ServerStreamForClient[wire.ChunkReply], start time.Time, maxBytes int64) (Delivery, error) {
	defer func() { _ = s.Close() }()
	var d Delivery
	for s.Receive() {
		if d.Timing.FirstByte == 0 {
			d.Timing.FirstByte = time.Since(start)
			d.Timing.Waited = time.Duration(s.Msg().Waited) * time.Millisecond
			d.Timing.QueueLength = int(s.Msg().Queue)
		}
		d.Data = append(d.Data, s.Msg().Data...)
		if int64(len(d.Data)) > maxBytes {
			return Delivery{}, errTooLong
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
