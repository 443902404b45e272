// Package chunks describes weights as chunks that are checked one by one.
//
// # Manifests
//
// A version of a model is a tree of files. Its Manifest lists the files and the
// digest of each chunk of each file. The digest of the encoded manifest names
// the version; a pool row carries it, so that a process trusts nothing else.
//
// # Packs
//
// A chunk may hold several small files, so that a tree of many of them takes few
// calls. Such a pack is published as one object below PackDir.
//
// # Chunks
//
// A chunk is addressed by its digest. Chunks with equal digests are the same
// bytes, in whichever file or version they stand. A chunk is passed on or loaded
// only after Check.
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

// ErrDigest tells that a text is no digest.
var ErrDigest = errors.New("a digest is 64 hexadecimal digits")

// Sum returns the digest of the bytes.
func Sum(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest reads the form that String writes.
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
	// Path is that of a file, or of a pack below PackDir.
	Path   string
	Offset int64
	// Length is in bytes and above zero.
	Length int64
}

// Source reads weights from where they are published: the weight store or the
// origin.
type Source interface {
	// Manifest returns the encoded manifest. The bytes aren't checked.
	Manifest(ctx context.Context, digest Digest) ([]byte, error)
	// Open returns the bytes of the range. They aren't checked and may end
	// early. The caller closes the reader.
	Open(ctx context.Context, part Range) (io.ReadCloser, error)
}
