package fetch_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"currantport.example/agent/internal/fetch"
	"currantport.example/core/chunks"
	"currantport.example/core/memnet"
	"currantport.example/core/peer"
	"currantport.example/core/swarm"
)

const (
	// callBytes and frameBytes are the assumed sizes of the headers of a call and of a
	// message.
	callBytes  = 250
	frameBytes = 14
)

// directPeers reaches peers over the links of the fleet without connections. It implements
// fetch.Peers for fleets that are too large for real connections.
type directPeers struct {
	fleet *fleet
	node  *node
	// controlBytes counts the bytes that aren't chunks.
	controlBytes atomic.Int64
}

var errUnreachable = errors.New("unreachable")

// reach sends a request to the server at the address, and returns the server and the path
// back from it.
func (d *directPeers) reach(ctx context.Context, at netip.AddrPort) (*peer.Server, memnet.Path, error) {
	n := d.fleet.nodesByAddr[at.Addr()]
	if n == nil || n.server == nil {
		return nil, memnet.Path{}, errUnreachable
	}
	there := d.fleet.path(d.node.host.Address.Addr(), at.Addr())
	back := d.fleet.path(at.Addr(), d.node.host.Address.Addr())
	s := n.server
	return s, back, passLinks(ctx, there.Links, there.Delay, callBytes/2)
}

func (d *directPeers) receive(ctx context.Context, back memnet.Path, size int) error {
	return passLinks(ctx, back.Links, back.Delay, size)
}

// Manifest implements fetch.Peers.
func (d *directPeers) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	d.controlBytes.Add(callBytes)
	u, release, err := s.Manifest(ctx, digest, wait)
	if err != nil {
		return nil, err
	}
	defer release()
	return u.Data, d.receive(ctx, back, len(u.Data)+callBytes/2)
}

// Chunk implements fetch.Peers.
func (d *directPeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, _ int64) (fetch.Delivery, error) {
	start := time.Now()
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return fetch.Delivery{}, err
	}
	d.controlBytes.Add(callBytes)
	u, release, err := s.Chunk(ctx, digest)
	if err != nil {
		return fetch.Delivery{}, err
	}
	defer release()
	first := time.Since(start)
	err = d.receive(ctx, back, len(u.Data)+callBytes/2)
	t := swarm.Timing{Took: time.Since(start), FirstByte: first, Waited: u.Waited, QueueLength: u.QueueLength}
	return fetch.Delivery{Data: u.Data, Timing: t}, err
}

// Watch implements fetch.Peers.
func (d *directPeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, receive func(swarm.Holdings)) error {
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return err
	}
	d.controlBytes.Add(callBytes)
	return s.Watch(ctx, manifest, func(o swarm.Holdings) error {
		m := peer.EncodeOffer(o)
		size := proto.Size(m) + frameBytes
		d.controlBytes.Add(int64(size))
		for _, l := range back.Links {
			l.Transmit(time.Now(), size)
		}
		receive(peer.DecodeOffer(m, pieces))
		return nil
	})
}
