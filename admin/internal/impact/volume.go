package impact

import (
	"context"
	"fmt"

	"currantport.example/core/chunks"
	"currantport.example/core/tables"
)

// Manifests reads encoded manifests.
type Manifests interface {
	// Manifest returns the encoded manifest. The bytes aren't checked.
	Manifest(ctx context.Context, digest chunks.Digest) ([]byte, error)
}

// Volume holds the bytes that the hosts of an effect would transfer.
type Volume struct {
	// HostBytes is the sum over all hosts that would load. Chunks that a host holds
	// as part of the active version aren't counted.
	HostBytes int64
	// NewBytes is the part of the version that the pool doesn't hold yet. It is read
	// about once from the store or the origin.
	NewBytes int64
	// CrossRegionBytes is what the uncovered regions lack, counted once for each
	// region.
	CrossRegionBytes int64
	// UnknownReason is why the bytes aren't known, or empty if they are.
	UnknownReason string
}

// EstimateVolumes sets the volumes of the effects from the manifests. If a manifest
// can't be read, UnknownReason is set instead.
func EstimateVolumes(ctx context.Context, s Snapshot, next []tables.Pool, effects []Effect, m Manifests) {
	pools := make(map[string]tables.Pool, len(next))
	for _, p := range next {
		pools[p.Name] = p
	}
	for i, e := range effects {
		if len(e.LoadingHosts) == 0 {
			continue
		}
		v, err := estimateVolume(ctx, s, pools[e.Pool], e, m)
		if err != nil {
			v = Volume{UnknownReason: err.Error()}
		}
		effects[i].Volume = v
	}
}

func estimateVolume(ctx context.Context, s Snapshot, next tables.Pool, e Effect, m Manifests) (Volume, error) {
	old := s.Tables.Pools.Rows[e.Pool]
	sizes, err := chunkSizes(ctx, next.Manifest, m)
	if err != nil {
		return Volume{}, err
	}
	held := map[chunks.Digest]int64{}
	if len(old.Hosts) > 0 && old.Kind == tables.PoolModel {
		if held, err = chunkSizes(ctx, old.Manifest, m); err != nil {
			return Volume{}, err
		}
	}
	totalBytes, newBytes := int64(0), int64(0)
	for d, n := range sizes {
		totalBytes += n
		if _, ok := held[d]; !ok {
			newBytes += n
		}
	}
	v := Volume{NewBytes: newBytes}
	for _, h := range e.LoadingHosts {
		if old.Has(h) {
			v.HostBytes += newBytes
		} else {
			v.HostBytes += totalBytes
		}
	}
	for _, r := range e.UncoveredRegions {
		if hasHost(s.List, old, r) {
			v.CrossRegionBytes += newBytes
		} else {
			v.CrossRegionBytes += totalBytes
		}
	}
	return v, nil
}

// chunkSizes returns the length of each distinct chunk of a version.
func chunkSizes(ctx context.Context, digest chunks.Digest, m Manifests) (map[chunks.Digest]int64, error) {
	data, err := m.Manifest(ctx, digest)
	if err != nil {
		return nil, fmt.Errorf("manifest %s: %w", digest, err)
	}
	if chunks.Sum(data) != digest {
		return nil, fmt.Errorf("manifest %s: the bytes have another digest", digest)
	}
	decoded, err := chunks.DecodeManifest(data)
	if err != nil {
		return nil, err
	}
	sizes := make(map[chunks.Digest]int64)
	for _, p := range decoded.Pieces(digest) {
		sizes[p.Digest] = p.Range.Length
	}
	return sizes, nil
}
