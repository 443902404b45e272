// Package chunks describes the weights of a model as chunks that are verified one by one.
//
// # Manifests
//
// A version of a model is a tree of files. Its Manifest lists the files and the digest of
// each chunk of each file. The digest of the encoded manifest names the version. A pool row
// contains that digest, and a process trusts nothing else.
//
// # Packs
//
// A chunk may hold several small files, so that a tree of many small files needs few
// requests. Such a pack is published as one object in PackDir.
//
// # Chunks
//
// A chunk is addressed by its digest. Chunks with equal digests are the same bytes, in any
// file or version. A chunk is forwarded or loaded only after Verify.
package chunks

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
)

// Digest is the SHA-256 digest of a chunk or a manifest. Zero means none.
type Digest [sha256.Size]byte

// ErrDigest is returned for a text that isn't a digest.
var ErrDigest = errors.New("a digest must have 64 hexadecimal digits")

// Sum returns the digest of the bytes.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest parses the form that String returns. The error is ErrDigest.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if len(text) != hex.EncodedLen(len(d)) {
		return Digest{}, ErrDigest
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return Digest{}, ErrDigest
	}
	return d, nil
}

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Verify reports whether the bytes have the digest.
func Verify(d Digest, data []byte) bool { return Sum(data) == d }

// Range is a part of a file or a pack of a version.
type Range struct {
	// Manifest names the version.
	Manifest Digest
	// Path is the path of a file, or of a pack in PackDir.
	Path   string
	Offset int64
	// Length is in bytes and above zero.
	Length int64
}

// Source reads weights from where they are published: the weight store or the origin.
type Source interface {
	// Manifest returns the encoded manifest. The bytes aren't verified.
	Manifest(ctx context.Context, digest Digest) ([]byte, error)
	// Open returns the bytes of the range. They aren't verified and may end early. The
	// caller closes the reader.
	Open(ctx context.Context, part Range) (io.ReadCloser, error)
}
