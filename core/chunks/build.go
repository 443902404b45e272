package chunks

import (
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
)

// Files smaller than a full chunk divided by smallFileDivisor are packed.
const smallFileDivisor = 4

// PackSink publishes the bytes of a pack. It must not keep the slice.
type PackSink func(p Pack, data []byte) error

// Build lists the regular files below the root of a tree and computes the digests of their
// chunks. Chunk is the length of a full chunk in bytes, above zero and up to MaxChunkBytes.
// Small files are packed and the packs passed to sink; if sink is nil, each file has chunks
// of its own. Files in PackDir are skipped.
func Build(tree fs.FS, chunk int64, sink PackSink) (*Manifest, error) {
	if chunk <= 0 || chunk > MaxChunkBytes {
		return nil, &ManifestError{Reason: "chunk must be above 0 and up to 64 MiB"}
	}
	b := &builder{tree: tree, sink: sink, manifest: &Manifest{ChunkBytes: chunk}, buffer: make([]byte, chunk)}
	err := fs.WalkDir(tree, ".", b.visit)
	if err == nil {
		err = b.flushPack()
	}
	return b.manifest, err
}

// builder computes the digests of the files of a tree in order.
type builder struct {
	tree     fs.FS
	sink     PackSink
	manifest *Manifest
	buffer   []byte
	// The files and the bytes of the pack that is being filled.
	files []PackedFile
	data  []byte
}

func (b *builder) visit(p string, e fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if e.IsDir() && p == PackDir {
		return fs.SkipDir
	}
	if !e.Type().IsRegular() {
		return nil
	}
	r, err := b.tree.Open(p)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	return b.digestFile(p, r)
}

// digestFile adds a file to the manifest, or to a pack if it is small.
func (b *builder) digestFile(p string, r io.Reader) error {
	f := File{Path: p}
	for {
		n, err := io.ReadFull(r, b.buffer)
		ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !ended {
			return err
		}
		if ended && f.Size == 0 && b.isSmall(n) {
			return b.addToPack(p, b.buffer[:n])
		}
		if n > 0 {
			f.Size += int64(n)
			f.Chunks = append(f.Chunks, Sum(b.buffer[:n]))
		}
		if ended {
			b.manifest.Files = append(b.manifest.Files, f)
			return nil
		}
	}
}

func (b *builder) isSmall(size int) bool {
	return b.sink != nil && size > 0 && size < len(b.buffer)/smallFileDivisor
}

// addToPack adds a file to the pack that is being filled.
func (b *builder) addToPack(p string, data []byte) error {
	if len(b.data)+len(data) > len(b.buffer) || b.isPackBoundary(p, len(data)) {
		if err := b.flushPack(); err != nil {
			return err
		}
	}
	b.files = append(b.files, PackedFile{Path: p, Size: int64(len(data))})
	b.data = append(b.data, data...)
	return nil
}

// isPackBoundary reports whether a new pack always starts with the file, wherever the
// previous pack ends. A changed file therefore changes only the packs up to the next
// boundary. On average there is one boundary in the length of a chunk.
func (b *builder) isPackBoundary(p string, size int) bool {
	d := Sum([]byte(p))
	return binary.LittleEndian.Uint64(d[:])%uint64(len(b.buffer)) < uint64(size)
}

// flushPack completes the pack that is being filled. A single file gets a chunk of its own
// instead.
func (b *builder) flushPack() error {
	files, data := b.files, b.data
	b.files, b.data = nil, b.data[:0]
	switch len(files) {
	case 0:
		return nil
	case 1:
		f := File{Path: files[0].Path, Size: files[0].Size, Chunks: []Digest{Sum(data)}}
		b.manifest.Files = append(b.manifest.Files, f)
		return nil
	}
	p := Pack{Digest: Sum(data), Files: files}
	b.manifest.Packs = append(b.manifest.Packs, p)
	return b.sink(p, data)
}
