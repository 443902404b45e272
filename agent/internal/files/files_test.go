package files_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/gorilla/mux"

	"currantport.example/agent/internal/files"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
)

var chunkData = []string{"first chunk", "other chunk", "end"}

// addVersion adds a version to a cache, without chunk skip unless that is negative.
func addVersion(t *testing.T, c *cache.Cache, skip int) chunks.Digest {
	t.Helper()
	f := chunks.File{Path: "dir/weights"}
	for i, p := range chunkData {
		f.Size += int64(len(p))
		f.Chunks = append(f.Chunks, chunks.Sum([]byte(p)))
		if i != skip {
			if err := c.Add(f.Chunks[i], []byte(p)); err != nil {
				t.Fatal(err)
			}
		}
	}
	pack := chunks.Pack{Digest: f.Chunks[0], Files: []chunks.PackedFile{{Path: "small/a", Size: 5}, {Path: "small/b", Size: int64(len(chunkData[0])) - 5}}}
	encoded, err := (&chunks.Manifest{ChunkBytes: int64(len(chunkData[0])), Files: []chunks.File{f}, Packs: []chunks.Pack{pack}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	digest := chunks.Sum(encoded)
	if _, err := c.AddManifest(digest, encoded); err != nil {
		t.Fatal(err)
	}
	return digest
}

// evictingWriter evicts all chunks from the cache once the first one is written.
type evictingWriter struct {
	*httptest.ResponseRecorder
	cache *cache.Cache
}

// Write implements http.ResponseWriter.
func (w *evictingWriter) Write(data []byte) (int, error) {
	w.cache.Retain(nil)
	return w.ResponseRecorder.Write(data)
}

func get(c *cache.Cache, w http.ResponseWriter, digest chunks.Digest, path string) {
	r := mux.NewRouter()
	files.NewServer(c).Register(r)
	u := files.URL(netip.MustParseAddrPort("127.0.0.1:1"), digest)
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, u.Path+path, nil))
}

func TestOnlyCompleteVersionsAreServed(t *testing.T) {
	for skip := -1; skip < len(chunkData); skip++ {
		c := cache.New()
		digest := addVersion(t, c, skip)
		for path, want := range map[string]string{
			"": "dir/weights\nsmall/a\nsmall/b\n", "dir/weights": chunkData[0] + chunkData[1] + chunkData[2], "small/a": "first", "small/b": " chunk",
		} {
			w := httptest.NewRecorder()
			get(c, w, digest, path)
			if complete := w.Code == http.StatusOK && w.Body.String() == want; complete != (skip < 0) || w.Code == http.StatusOK && !complete {
				t.Errorf("without chunk %d: %q gave status %d and %q", skip, path, w.Code, w.Body)
			}
		}
	}
}

func TestTransferIsAbortedWhenChunkIsEvicted(t *testing.T) {
	c := cache.New()
	digest := addVersion(t, c, -1)
	w := &evictingWriter{ResponseRecorder: httptest.NewRecorder(), cache: c}
	defer func() {
		if err, _ := recover().(error); !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the transfer ended with %v after %q", err, w.Body)
		}
	}()
	get(c, w, digest, "dir/weights")
}
