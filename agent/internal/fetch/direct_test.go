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
	// callBytes and frameBytes stand for the headers of a call and of a message.
	callBytes  = 250
	frameBytes = 14
)

// direct reaches peers over the links of the fleet without connections. It
// implements fetch.Peers for fleets that are too large for the real ones.
type direct struct {
	fleet *fleet
	node  *node
	// control counts the bytes that aren't chunks.
	control atomic.Int64
}

var errUnreachable = errors.New("unreachable")

// reach returns the server at the address and the links to and from it.
func (d *direct) reach(ctx context.Context, at netip.AddrPort) (*peer.Server, memnet.Path, error) {
	n := d.fleet.byAddr[at.Addr()]
	if n == nil || n.server == nil {
		return nil, memnet.Path{}, errUnreachable
	}
	there := d.fleet.path(d.node.host.Address.Addr(), at.Addr())
	back := d.fleet.path(at.Addr(), d.node.host.Address.Addr())
	s := n.server
	return s, back, passLinks(ctx, there.Links, there.Delay, callBytes/2)
}

func (d *direct) receive(ctx context.Context, back memnet.Path, size int) error {
	return passLinks(ctx, back.Links, back.Delay, size)
}

// Manifest implements fetch.Peers.
func (d *direct) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	d.control.Add(callBytes)
	u, release, err := s.Manifest(ctx, digest, wait)
	if err != nil {
		return nil, err
	}
	defer release()
	return u.Data, d.receive(ctx, back, len(u.Data)+callBytes/2)
}

// Chunk implements fetch.Peers.
func (d *direct) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, _ int64) (fetch.Delivery, error) {
	start := time.Now()
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return fetch.Delivery{}, err
	}
	d.control.Add(callBytes)
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
func (d *direct) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, heard func(swarm.Holdings)) error {
	s, back, err := d.reach(ctx, at)
	if err != nil {
		return err
	}
	d.control.Add(callBytes)
	return s.Watch(ctx, manifest, func(o swarm.Holdings) error {
		m := peer.EncodeOffer(o)
		size := proto.Size(m) + frameBytes
		d.control.Add(int64(size))
		for _, l := range back.Links {
			l.Pass(time.Now(), size)
		}
		heard(peer.DecodeOffer(m, pieces))
		return nil
	})
}
