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

var parts = []string{"first chunk", "other chunk", "end"}

// fill adds a version of one file to a cache, without one of its chunks unless
// skip is negative.
func fill(t *testing.T, c *cache.Cache, skip int) chunks.Digest {
	t.Helper()
	f := chunks.File{Path: "dir/weights"}
	for i, p := range parts {
		f.Size += int64(len(p))
		f.Chunks = append(f.Chunks, chunks.Sum([]byte(p)))
		if i != skip {
			if err := c.Add(f.Chunks[i], []byte(p)); err != nil {
				t.Fatal(err)
			}
		}
	}
	pack := chunks.Pack{Digest: f.Chunks[0], Files: []chunks.PackedFile{{Path: "small/a", Size: 5}, {Path: "small/b", Size: int64(len(parts[0])) - 5}}}
	encoded, err := (&chunks.Manifest{ChunkBytes: int64(len(parts[0])), Files: []chunks.File{f}, Packs: []chunks.Pack{pack}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	digest := chunks.Sum(encoded)
	if _, err := c.AddManifest(digest, encoded); err != nil {
		t.Fatal(err)
	}
	return digest
}

// forgetful drops the cache once the first chunk is written.
type forgetful struct {
	*httptest.ResponseRecorder
	cache *cache.Cache
}

// Write implements http.ResponseWriter.
func (f *forgetful) Write(data []byte) (int, error) {
	f.cache.Retain(nil)
	return f.ResponseRecorder.Write(data)
}

func get(c *cache.Cache, w http.ResponseWriter, digest chunks.Digest, path string) {
	r := mux.NewRouter()
	files.NewServer(c).Register(r)
	u := files.URL(netip.MustParseAddrPort("127.0.0.1:1"), digest)
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, u.Path+path, nil))
}

func TestOnlyCompleteVersionsAreServed(t *testing.T) {
	for skip := -1; skip < len(parts); skip++ {
		c := cache.New()
		digest := fill(t, c, skip)
		for path, want := range map[string]string{
			"": "dir/weights\nsmall/a\nsmall/b\n", "dir/weights": parts[0] + parts[1] + parts[2], "small/a": "first", "small/b": " chunk",
		} {
			w := httptest.NewRecorder()
			get(c, w, digest, path)
			if whole := w.Code == http.StatusOK && w.Body.String() == want; whole != (skip < 0) || w.Code == http.StatusOK && !whole {
				t.Errorf("without chunk %d: %q gave status %d and %q", skip, path, w.Code, w.Body)
			}
		}
	}
}

func TestTransferIsCutIfAChunkGoes(t *testing.T) {
	c := cache.New()
	digest := fill(t, c, -1)
	w := &forgetful{ResponseRecorder: httptest.NewRecorder(), cache: c}
	defer func() {
		if err, _ := recover().(error); !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the transfer ended with %v after %q", err, w.Body)
		}
	}()
	get(c, w, digest, "dir/weights")
}
