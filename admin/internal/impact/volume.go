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

// Volume is what the loads of an effect would move.
type Volume struct {
	// HostBytes is the sum over all hosts that would load, in bytes. Chunks that a
	// host holds by the version in force aren't counted.
	HostBytes int64
	// NewBytes is what the pool lacks of the version, in bytes. It comes from outside
	// about once.
	NewBytes int64
	// CrossRegionBytes is what the crossed regions lack, in bytes, once for each.
	CrossRegionBytes int64
	// UnknownReason is why the bytes aren't known. It is empty if they are.
	UnknownReason string
}

// EstimateVolumes fills in the volumes of the effects from the manifests. A manifest that
// can't be read leaves the volume unknown.
func EstimateVolumes(ctx context.Context, f Snapshot, next []tables.Pool, effects []Effect, m Manifests) {
	pools := make(map[string]tables.Pool, len(next))
	for _, p := range next {
		pools[p.Name] = p
	}
	for i, e := range effects {
		if len(e.LoadingHosts) == 0 {
			continue
		}
		v, err := volume(ctx, f, pools[e.Pool], e, m)
		if err != nil {
			v = Volume{UnknownReason: err.Error()}
		}
		effects[i].Volume = v
	}
}

func volume(ctx context.Context, f Snapshot, next tables.Pool, e Effect, m Manifests) (Volume, error) {
	old := f.Tables.Pools.Rows[e.Pool]
	sizes, err := sizesOf(ctx, next.Manifest, m)
	if err != nil {
		return Volume{}, err
	}
	held := map[chunks.Digest]int64{}
	if len(old.Hosts) > 0 && old.Kind == tables.PoolModel {
		if held, err = sizesOf(ctx, old.Manifest, m); err != nil {
			return Volume{}, err
		}
	}
	whole, fresh := int64(0), int64(0)
	for d, n := range sizes {
		whole += n
		if _, ok := held[d]; !ok {
			fresh += n
		}
	}
	v := Volume{NewBytes: fresh}
	for _, h := range e.LoadingHosts {
		if old.Has(h) {
			v.HostBytes += fresh
		} else {
			v.HostBytes += whole
		}
	}
	for _, r := range e.UncoveredRegions {
		if hasHost(f.List, old, r) {
			v.CrossRegionBytes += fresh
		} else {
			v.CrossRegionBytes += whole
		}
	}
	return v, nil
}

// sizesOf returns the length of each distinct chunk of a version.
func sizesOf(ctx context.Context, digest chunks.Digest, m Manifests) (map[chunks.Digest]int64, error) {
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
