package edges_test

import (
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// listServer serves data with an entity tag, compressed.
type listServer struct {
	t    *testing.T
	tag  string
	data []byte
	// fullResponses counts the responses with a body.
	fullResponses int
}

func (l *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.tag != "" {
		w.Header().Set("ETag", l.tag)
	}
	if l.tag != "" && r.Header.Get("If-None-Match") == l.tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	l.fullResponses++
	w.Header().Set("Revision", "7")
	writeGzip(l.t, w, r, l.data)
}

func writeGzip(t *testing.T, w http.ResponseWriter, r *http.Request, data []byte) {
	t.Helper()
	if r.Header.Get("Accept-Encoding") != "gzip" {
		t.Error("the request doesn't allow a compressed response")
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if _, err := z.Write(data); err != nil {
		t.Error(err)
	}
	if err := z.Close(); err != nil {
		t.Error(err)
	}
}

func serve(t *testing.T, h http.Handler) url.URL {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	u, err := url.Parse(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	return *u
}

func encodeHost(t *testing.T, name hosts.Name) []byte {
	t.Helper()
	data, err := edges.EncodeHosts([]hosts.Host{{Name: name, Address: upstreamAt, State: hosts.StateLive}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestUnchangedListIsFetchedOnce checks that an unchanged list is transferred once,
// a changed one again, and a list without an entity tag each time.
func TestUnchangedListIsFetchedOnce(t *testing.T) {
	l := &listServer{t: t}
	fleet := edges.NewFleet(&http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}, serve(t, l))
	for i, c := range []struct {
		tag           string
		name          hosts.Name
		fullResponses int
	}{{"a", "one", 1}, {"a", "one", 1}, {"b", "two", 2}, {"b", "two", 2}, {"", "two", 3}, {"", "three", 4}, {"a", "one", 5}} {
		l.tag, l.data = c.tag, encodeHost(t, c.name)
		got, err := fleet.Hosts(t.Context())
		if err != nil || len(got) != 1 || got[0].Name != c.name || l.fullResponses != c.fullResponses {
			t.Errorf("read %d returned %v, %v after %d full responses, want %s after %d", i, got, err, l.fullResponses, c.name, c.fullResponses)
		}
	}
}

// TestCompressedValue checks that the bound applies to the uncompressed length.
func TestCompressedValue(t *testing.T) {
	for size, ok := range map[int]bool{10: true, tables.MaxValueBytes: true, tables.MaxValueBytes + 1: false} {
		l := &listServer{t: t, data: make([]byte, size)}
		config := edges.NewConfig(&http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}, serve(t, l))
		v, err := config.Read(t.Context(), tables.KindPools)
		if ok && (err != nil || v.Revision != 7 || !cmp.Equal(v.Data, l.data)) || !ok && err == nil {
			t.Errorf("a value of %d bytes returned %d bytes, %v", size, len(v.Data), err)
		}
	}
}
