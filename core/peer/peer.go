package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/chunks"
	"currantport.example/core/swarm"
	"currantport.example/core/wire"
)

const (
	// messageBytes is the maximum payload of one message of a streamed chunk.
	messageBytes = 64 << 10
	// maxManifestWait is the maximum time for which a request waits for a manifest.
	maxManifestWait = 10 * time.Second
)

// Handler implements wire.PeerHandler on a Server.
type Handler struct{ server *Server }

// NewHandler returns a handler for the server.
func NewHandler(s *Server) *Handler { return &Handler{server: s} }

// Watch implements wire.PeerHandler.
func (h *Handler) Watch(ctx context.Context, r *connect.Request[wire.HoldsRequest], s *connect.ServerStream[wire.HoldsReply]) error {
	digest, err := chunks.ParseDigest(r.Msg.Manifest)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return h.server.Watch(ctx, digest, func(held swarm.Holdings) error { return s.Send(EncodeHoldings(held)) })
}

// EncodeHoldings encodes a report of holdings.
func EncodeHoldings(h swarm.Holdings) *wire.HoldsReply {
	m := &wire.HoldsReply{Full: h.Full, Frontier: uint32(h.Frontier), Queue: uint32(h.QueueLength), Known: h.Full}
	if h.Full {
		m.Bitmap = h.Held.Pack()
	}
	for _, i := range h.Added {
		m.Added = append(m.Added, uint32(i))
	}
	return m
}

// DecodeHoldings decodes a report on a version with the given number of pieces.
func DecodeHoldings(m *wire.HoldsReply, count int) swarm.Holdings {
	h := swarm.Holdings{Full: m.Full, Frontier: int(m.Frontier), QueueLength: int(m.Queue)}
	if m.Full {
		h.Held = swarm.UnpackBits(m.Bitmap, count)
	}
	for _, i := range m.Added {
		h.Added = append(h.Added, int(i))
	}
	return h
}

// Chunk implements wire.PeerHandler.
func (h *Handler) Chunk(ctx context.Context, r *connect.Request[wire.ChunkRequest], s *connect.ServerStream[wire.ChunkReply]) error {
	digest, err := chunks.ParseDigest(r.Msg.Digest)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	u, release, err := h.server.Chunk(ctx, digest)
	if err != nil {
		return encodeError(err)
	}
	defer release()
	return stream(u, s)
}

// Manifest implements wire.PeerHandler.
func (h *Handler) Manifest(ctx context.Context, r *connect.Request[wire.ManifestRequest], s *connect.ServerStream[wire.ChunkReply]) error {
	digest, err := chunks.ParseDigest(r.Msg.Digest)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	wait := min(max(time.Duration(r.Msg.Wait)*time.Millisecond, 0), maxManifestWait)
	u, release, err := h.server.Manifest(ctx, digest, wait)
	if err != nil {
		return encodeError(err)
	}
	defer release()
	return stream(u, s)
}

func encodeError(err error) error {
	switch {
	case errors.Is(err, ErrMissing):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, ErrFailing):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrBusy):
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return err
}

func stream(u *Upload, s *connect.ServerStream[wire.ChunkReply]) error {
	m := &wire.ChunkReply{Waited: uint32(u.Waited.Milliseconds()), Queue: uint32(u.QueueLength)}
	data := u.Data
	for {
		n := min(messageBytes, len(data))
		m.Data = data[:n]
		if err := s.Send(m); err != nil {
			return err
		}
		data = data[n:]
		if len(data) == 0 {
			return nil
		}
		m = &wire.ChunkReply{}
	}
}
