// Package files serves the files of complete versions to the engine beside the
// agent. A version of which a chunk is missing isn't there; a chunk that goes
// away during a transfer cuts it off, so that the engine never takes a short file
// for a whole one.
//
// The list of a version's files stands at /v1/files/DIGEST/, one path a line;
// each file stands below it.
package files

import (
	"cmp"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
)

// Server serves files from a cache.
type Server struct{ cache *cache.Cache }

// NewServer returns a server of what the cache holds.
func NewServer(c *cache.Cache) *Server { return &Server{cache: c} }

// Register adds the files to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc("/v1/files/{manifest}/", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/files/{manifest}/{path:.+}", s.serveFile).Methods(http.MethodGet)
}

// URL returns where the files of a version stand.
func URL(listen netip.AddrPort, manifest chunks.Digest) url.URL {
	return url.URL{Scheme: "http", Host: listen.String(), Path: "/v1/files/" + manifest.String() + "/"}
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	v, ok := s.version(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	for _, f := range v.Layout {
		_, _ = w.Write([]byte(f.Path + "\n"))
	}
}

func (s *Server) serveFile(w http.ResponseWriter, r *http.Request) {
	v, ok := s.version(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	path := mux.Vars(r)["path"]
	i, found := slices.BinarySearchFunc(v.Layout, path, func(f chunks.FileLayout, p string) int { return cmp.Compare(f.Path, p) })
	if !found {
		http.NotFound(w, r)
		return
	}
	s.write(w, v.Layout[i])
}

func (s *Server) write(w http.ResponseWriter, f chunks.FileLayout) {
	w.Header().Set("Content-Length", strconv.FormatInt(f.Size, 10))
	for _, p := range f.Spans {
		data, ok := s.cache.Chunk(p.Chunk)
		if !ok || int64(len(data)) < p.Offset+p.Length {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(data[p.Offset : p.Offset+p.Length]); err != nil {
			return
		}
	}
}

func (s *Server) version(r *http.Request) (*cache.Version, bool) {
	digest, err := chunks.ParseDigest(mux.Vars(r)["manifest"])
	if err != nil {
		return nil, false
	}
	v, ok := s.cache.Version(digest)
	return v, ok && !slices.Contains(s.cache.Held(v), false)
}
