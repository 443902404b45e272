package chunks

import "path"

// PackDir is the folder of a published version that holds its packs, each named by its
// digest. No file of a version has a path in it.
const PackDir = ".packs"

// Pack is one chunk that holds the concatenated bytes of several small files.
type Pack struct {
	Digest Digest
	// Files are in the order of their bytes in the chunk.
	Files []PackedFile
}

// PackedFile is a file in a pack.
type PackedFile struct {
	// Path is relative, clean and uses slashes.
	Path string
	// Size is in bytes and above zero.
	Size int64
}

// Path returns the path of the pack within the published version.
func (p Pack) Path() string { return path.Join(PackDir, p.Digest.String()) }

// Bytes returns the length of the chunk.
func (p Pack) Bytes() int64 {
	var sum int64
	for _, f := range p.Files {
		sum += f.Size
	}
	return sum
}

// Span is a part of a chunk.
type Span struct {
	Chunk Digest
	// Offset and Length are in bytes and lie within the chunk.
	Offset int64
	Length int64
}

// FileLayout is a file with the parts of chunks that hold its bytes.
type FileLayout struct {
	Path string
	Size int64
	// Spans are in the order of the bytes; their lengths add up to the size.
	Spans []Span
}

// Layout returns every file of the version with the spans that hold its bytes.
func (m *Manifest) Layout() []FileLayout {
	all := make([]FileLayout, 0, len(m.Files))
	for _, f := range m.Files {
		p := FileLayout{Path: f.Path, Size: f.Size}
		for i, d := range f.Chunks {
			p.Spans = append(p.Spans, Span{Chunk: d, Length: min(m.ChunkBytes, f.Size-int64(i)*m.ChunkBytes)})
		}
		all = append(all, p)
	}
	for _, k := range m.Packs {
		var offset int64
		for _, f := range k.Files {
			s := Span{Chunk: k.Digest, Offset: offset, Length: f.Size}
			all = append(all, FileLayout{Path: f.Path, Size: f.Size, Spans: []Span{s}})
			offset += f.Size
		}
	}
	return all
}

type packDocument struct {
	Digest string           `json:"digest"`
	Files  []packedDocument `json:"files"`
}

type packedDocument struct {
	Path string `json:"path"`
	Size int64  `json:"size"`
}

func encodePack(p Pack) packDocument {
	d := packDocument{Digest: p.Digest.String()}
	for _, f := range p.Files {
		d.Files = append(d.Files, packedDocument(f))
	}
	return d
}

// decode validates a pack and adds its paths to seen.
func (d packDocument) decode(chunk int64, seen map[string]bool) (Pack, error) {
	digest, err := ParseDigest(d.Digest)
	if err != nil {
		return Pack{}, &ManifestError{Reason: err.Error()}
	}
	if len(d.Files) == 0 {
		return Pack{}, &ManifestError{Reason: "a pack must have files"}
	}
	p := Pack{Digest: digest}
	remaining := chunk
	for _, f := range d.Files {
		switch {
		case !validPath(f.Path):
			return Pack{}, &ManifestError{Path: f.Path, Reason: reasonPath}
		case seen[f.Path]:
			return Pack{}, &ManifestError{Path: f.Path, Reason: reasonDuplicate}
		case f.Size <= 0 || f.Size > remaining:
			return Pack{}, &ManifestError{Path: f.Path, Reason: "must not be empty and must fit into its pack"}
		}
		seen[f.Path] = true
		remaining -= f.Size
		p.Files = append(p.Files, PackedFile(f))
	}
	return p, nil
}
