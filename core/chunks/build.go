package chunks

import (
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
)

// packedShare is the share of a chunk below which a file is packed.
const packedShare = 4

// PackSink publishes the bytes of a pack. It must not keep the slice.
type PackSink func(p Pack, data []byte) error

// Build lists the regular files below the root of a tree and digests their
// chunks. Chunk is the length of a full chunk in bytes. Small files are packed
// and the packs handed to keep; without keep each file has chunks of its own.
// What stands in PackDir is passed over.
func Build(tree fs.FS, chunk int64, keep PackSink) (*Manifest, error) {
	if chunk <= 0 || chunk > MaxChunkBytes {
		return nil, &ManifestError{Reason: "chunk must be above 0 and up to 64 MiB"}
	}
	b := &builder{tree: tree, keep: keep, manifest: &Manifest{ChunkBytes: chunk}, buffer: make([]byte, chunk)}
	err := fs.WalkDir(tree, ".", b.visit)
	if err == nil {
		err = b.flush()
	}
	return b.manifest, err
}

// builder digests the files of a tree in order.
type builder struct {
	tree     fs.FS
	keep     PackSink
	manifest *Manifest
	buffer   []byte
	// files stand in the pack that is being filled, data is their bytes.
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
	return b.read(p, r)
}

// read digests a file, or packs it if it is small.
func (b *builder) read(p string, r io.Reader) error {
	f := File{Path: p}
	for {
		n, err := io.ReadFull(r, b.buffer)
		ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !ended {
			return err
		}
		if ended && f.Size == 0 && b.isSmall(n) {
			return b.pack(p, b.buffer[:n])
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
	return b.keep != nil && size > 0 && size < len(b.buffer)/packedShare
}

// pack adds a file to the pack that is being filled.
func (b *builder) pack(p string, data []byte) error {
	if len(b.data)+len(data) > len(b.buffer) || b.isCut(p, len(data)) {
		if err := b.flush(); err != nil {
			return err
		}
	}
	b.files = append(b.files, PackedFile{Path: p, Size: int64(len(data))})
	b.data = append(b.data, data...)
	return nil
}

// isCut reports whether a pack begins with the file wherever the one before it
// ends, so that a changed file changes only the packs up to the next such one.
// On average there is one in the length of a chunk.
func (b *builder) isCut(p string, size int) bool {
	d := Sum([]byte(p))
	return binary.LittleEndian.Uint64(d[:])%uint64(len(b.buffer)) < uint64(size)
}

// flush closes the pack. A file alone in it has a chunk of its own.
func (b *builder) flush() error {
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
	return b.keep(p, data)
}
