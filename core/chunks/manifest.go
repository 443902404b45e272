package chunks

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"path"
	"strings"
)

const (
	// MaxManifestBytes is the maximum size of an encoded manifest.
	MaxManifestBytes = 64 << 20
	// MaxChunkBytes is the maximum size of a chunk.
	MaxChunkBytes = 64 << 20

	reasonDuplicate = "duplicate path"
	reasonPath      = "must be a clean relative path outside " + PackDir
)

// File is one file of a version.
type File struct {
	// Path is relative, clean and uses slashes.
	Path string
	// Size is in bytes.
	Size int64
	// Chunks holds the digest of each chunk in order. Every chunk except the last has the
	// length Manifest.ChunkBytes; an empty file has none.
	Chunks []Digest
}

// Manifest lists the files of a version. Its paths are unique.
type Manifest struct {
	// ChunkBytes is the length of a full chunk in bytes, above zero.
	ChunkBytes int64
	// Files are those that have chunks of their own.
	Files []File
	// Packs hold the small files.
	Packs []Pack
}

// ManifestError describes why an encoded manifest is invalid. Path is empty if the error
// concerns the whole manifest.
type ManifestError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest: path %q: %s", e.Path, e.Reason)
}

// Piece is one distinct chunk of a version.
type Piece struct {
	Digest Digest
	// Range is the first place of the chunk in the manifest.
	Range Range
}

// Pieces returns the distinct chunks of the manifest in the order of their first places.
// The digest is that of the manifest, for the ranges.
func (m *Manifest) Pieces(digest Digest) []Piece {
	var pieces []Piece
	seen := make(map[Digest]bool)
	add := func(d Digest, r Range) {
		if !seen[d] {
			seen[d] = true
			pieces = append(pieces, Piece{Digest: d, Range: r})
		}
	}
	for _, f := range m.Files {
		for i, d := range f.Chunks {
			add(d, m.chunkRange(digest, f, i))
		}
	}
	for _, p := range m.Packs {
		add(p.Digest, Range{Manifest: digest, Path: p.Path(), Length: p.Bytes()})
	}
	return pieces
}

// Sequence returns the digest of each chunk of the files in their order. Equal chunks repeat, so that an
// index in it is the position of a chunk, which one in Pieces isn't.
func (m *Manifest) Sequence() []Digest {
	var all []Digest
	for _, f := range m.Files {
		all = append(all, f.Chunks...)
	}
	return all
}

// Bytes returns the sum of the file sizes.
func (m *Manifest) Bytes() int64 {
	var sum int64
	for _, f := range m.Files {
		sum += f.Size
	}
	for _, p := range m.Packs {
		sum += p.Bytes()
	}
	return sum
}

func (m *Manifest) chunkRange(digest Digest, f File, i int) Range {
	offset := int64(i) * m.ChunkBytes
	return Range{Manifest: digest, Path: f.Path, Offset: offset, Length: min(m.ChunkBytes, f.Size-offset)}
}

type manifestDocument struct {
	Chunk int64          `json:"chunk"`
	Files []fileDocument `json:"files"`
	Packs []packDocument `json:"packs,omitempty"`
}

type fileDocument struct {
	Path   string   `json:"path"`
	Size   int64    `json:"size"`
	Chunks []string `json:"chunks"`
}

// Encode returns the JSON form of the manifest. Equal manifests give equal bytes.
func (m *Manifest) Encode() ([]byte, error) {
	d := manifestDocument{Chunk: m.ChunkBytes, Files: []fileDocument{}}
	for _, f := range m.Files {
		texts := make([]string, len(f.Chunks))
		for i, c := range f.Chunks {
			texts[i] = c.String()
		}
		d.Files = append(d.Files, fileDocument{Path: f.Path, Size: f.Size, Chunks: texts})
	}
	for _, p := range m.Packs {
		d.Packs = append(d.Packs, encodePack(p))
	}
	return json.Marshal(d)
}

// DecodeManifest decodes and validates an encoded manifest. Its errors are of the type
// *ManifestError.
func DecodeManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, &ManifestError{Reason: "longer than 64 MiB"}
	}
	var d manifestDocument
	j := json.NewDecoder(bytes.NewReader(data))
	j.DisallowUnknownFields()
	if err := j.Decode(&d); err != nil {
		return nil, &ManifestError{Reason: err.Error()}
	}
	if _, err := j.Token(); err != io.EOF {
		return nil, &ManifestError{Reason: "data follows the manifest"}
	}
	return d.decode()
}

func (d manifestDocument) decode() (*Manifest, error) {
	if d.Chunk <= 0 || d.Chunk > MaxChunkBytes {
		return nil, &ManifestError{Reason: "chunk must be above 0 and up to 64 MiB"}
	}
	m := &Manifest{ChunkBytes: d.Chunk}
	seen := make(map[string]bool)
	for _, f := range d.Files {
		file, err := f.decode(d.Chunk)
		if err != nil {
			return nil, err
		}
		if seen[f.Path] {
			return nil, &ManifestError{Path: f.Path, Reason: reasonDuplicate}
		}
		seen[f.Path] = true
		m.Files = append(m.Files, file)
	}
	for _, p := range d.Packs {
		pack, err := p.decode(d.Chunk, seen)
		if err != nil {
			return nil, err
		}
		m.Packs = append(m.Packs, pack)
	}
	return m, nil
}

func (d fileDocument) decode(chunk int64) (File, error) {
	if !validPath(d.Path) {
		return File{}, &ManifestError{Path: d.Path, Reason: reasonPath}
	}
	if d.Size < 0 || int64(len(d.Chunks)) != chunkCount(d.Size, chunk) {
		return File{}, &ManifestError{Path: d.Path, Reason: "the number of chunks doesn't match the size"}
	}
	f := File{Path: d.Path, Size: d.Size}
	for _, t := range d.Chunks {
		c, err := ParseDigest(t)
		if err != nil {
			return File{}, &ManifestError{Path: d.Path, Reason: err.Error()}
		}
		f.Chunks = append(f.Chunks, c)
	}
	return f, nil
}

func chunkCount(size, chunk int64) int64 {
	whole := size / chunk
	if size%chunk != 0 {
		whole++
	}
	return whole
}

func validPath(p string) bool {
	if p == "" || p == "." || path.IsAbs(p) || path.Clean(p) != p {
		return false
	}
	first, _, _ := strings.Cut(p, "/")
	return first != ".." && first != PackDir
}
