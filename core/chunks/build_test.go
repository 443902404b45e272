package chunks_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/chunks"
)

const testChunk = 64

// published is a tree as the origin holds it.
type published struct {
	tree     fstest.MapFS
	manifest *chunks.Manifest
}

func publish(t *testing.T, tree fstest.MapFS) published {
	t.Helper()
	p := published{tree: fstest.MapFS{}}
	for path, f := range tree {
		p.tree[path] = f
	}
	m, err := chunks.Build(tree, testChunk, func(k chunks.Pack, data []byte) error {
		p.tree[k.Path()] = &fstest.MapFile{Data: bytes.Clone(data)}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	p.manifest = m
	return p
}

// fetched returns the verified pieces, read by the ranges of the manifest.
func (p published) fetched(t *testing.T) map[chunks.Digest][]byte {
	t.Helper()
	all := make(map[chunks.Digest][]byte)
	for _, k := range p.manifest.Pieces(chunks.Digest{}) {
		r := k.Range
		data := p.tree[r.Path].Data[r.Offset : r.Offset+r.Length]
		if !chunks.Verify(k.Digest, data) {
			t.Fatal("the range of a piece has other bytes", r)
		}
		all[k.Digest] = data
	}
	return all
}

func TestFilesAreRebuiltFromSpans(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		tree := fstest.MapFS{}
		for i := range r.IntN(40) {
			tree[fmt.Sprintf("dir%d/file%d", i%3, i)] = &fstest.MapFile{Data: randomBytes(r, r.IntN(1+r.IntN(3*testChunk)))}
		}
		p := publish(t, tree)
		pieces := p.fetched(t)
		got := fstest.MapFS{}
		for _, f := range p.manifest.Layout() {
			data := []byte{}
			for _, s := range f.Spans {
				data = append(data, pieces[s.Chunk][s.Offset:s.Offset+s.Length]...)
			}
			got[f.Path] = &fstest.MapFile{Data: data}
		}
		if diff := cmp.Diff(tree, got); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		encoded, _ := p.manifest.Encode()
		m, err := chunks.DecodeManifest(encoded)
		if republished := publish(t, p.tree); err != nil || !cmp.Equal(m, republished.manifest) {
			t.Fatalf("seed %d: the published tree gives another manifest: %v", seed, err)
		}
	}
}

func randomBytes(r *rand.Rand, size int) []byte {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return data
}

// manyFiles returns a tree of small files.
func manyFiles() fstest.MapFS {
	r := rand.New(rand.NewPCG(1, 1))
	tree := fstest.MapFS{}
	for i := range 400 {
		tree[fmt.Sprintf("file%03d", i)] = &fstest.MapFile{Data: randomBytes(r, 1+r.IntN(testChunk/4-1))}
	}
	return tree
}

func TestSmallFilesShareChunks(t *testing.T) {
	first := publish(t, manyFiles())
	size := int(first.manifest.Bytes())
	count := len(first.manifest.Pieces(chunks.Digest{}))
	if limit := 2*size/testChunk + 1; count > limit {
		t.Errorf("%d bytes take %d chunks of %d, want at most %d", size, count, testChunk, limit)
	}
	changed := manyFiles()
	changed["file007"] = &fstest.MapFile{Data: []byte("longer than any")}
	changed["file100a"] = &fstest.MapFile{Data: []byte("one more")}
	held := first.fetched(t)
	missing := 0
	for d := range publish(t, changed).fetched(t) {
		if held[d] == nil {
			missing++
		}
	}
	if missing == 0 || missing > count/8 {
		t.Errorf("two changed files change %d of %d chunks", missing, count)
	}
}

func TestDecodeManifestRefusesPacks(t *testing.T) {
	pack := func(files ...chunks.PackedFile) *chunks.Manifest {
		return &chunks.Manifest{ChunkBytes: testChunk, Packs: []chunks.Pack{{Digest: chunks.Sum(nil), Files: files}}}
	}
	for name, m := range map[string]*chunks.Manifest{
		"no file":        pack(),
		"empty file":     pack(chunks.PackedFile{Path: "a"}),
		"longer":         pack(chunks.PackedFile{Path: "a", Size: testChunk}, chunks.PackedFile{Path: "b", Size: 1}),
		"path twice":     pack(chunks.PackedFile{Path: "a", Size: 1}, chunks.PackedFile{Path: "a", Size: 1}),
		"path in a pack": pack(chunks.PackedFile{Path: chunks.PackDir + "/a", Size: 1}),
		"path outside":   pack(chunks.PackedFile{Path: "../a", Size: 1}),
	} {
		encoded, _ := m.Encode()
		var invalid *chunks.ManifestError
		if _, err := chunks.DecodeManifest(encoded); !errors.As(err, &invalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
