// Package files serves the files of complete versions to the engine on the host of the
// agent. A version that lacks a chunk isn't found. If a chunk is evicted during a transfer,
// the connection is closed, so that the engine never takes a truncated file for a complete
// one.
//
// The path /v1/files/DIGEST/ lists the files of a version, one path per line. Each file is
// served below it.
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

// Server serves the files of the versions in a cache.
type Server struct{ cache *cache.Cache }

// NewServer returns a server for the versions in the cache.
func NewServer(c *cache.Cache) *Server { return &Server{cache: c} }

// Register adds the routes of the server to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc("/v1/files/{manifest}/", s.listFiles).Methods(http.MethodGet)
	r.HandleFunc("/v1/files/{manifest}/{path:.+}", s.serveFile).Methods(http.MethodGet)
}

// URL returns the URL below which a server at the address serves the files of a version.
func URL(listen netip.AddrPort, manifest chunks.Digest) url.URL {
	return url.URL{Scheme: "http", Host: listen.String(), Path: "/v1/files/" + manifest.String() + "/"}
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request) {
	v, ok := s.completeVersion(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	for _, f := range v.Layout {
		_, _ = w.Write([]byte(f.Path + "\n"))
	}
}

func (s *Server) serveFile(w http.ResponseWriter, r *http.Request) {
	v, ok := s.completeVersion(r)
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

// completeVersion returns the version that the path names if the cache holds all its
// chunks.
func (s *Server) completeVersion(r *http.Request) (*cache.Version, bool) {
	digest, err := chunks.ParseDigest(mux.Vars(r)["manifest"])
	if err != nil {
		return nil, false
	}
	v, ok := s.cache.Version(digest)
	return v, ok && !slices.Contains(s.cache.Held(v), false)
}
