// Package store stands in for the weight store and the origin.
//
// PUT /v1/trees?path=PATH adds a file or folder as a version and answers with
// the digest of its manifest. GET /v1/manifests/DIGEST and
// GET /v1/weights/DIGEST/FILE with a byte range read it. GET /v1/bytes tells how
// many bytes have been read.
package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"currantport.example/core/chunks"
)

const (
	partBytes     = 64 << 10
	retryAfter    = "1"
	defaultChunk  = 1 << 20
	callsBurstSec = 1
)

// Options bound the service.
type Options struct {
	// Rate is in bytes a second. Zero means no bound.
	Rate int64
	// CallRate is the number of calls a second. Zero means no bound.
	CallRate int
}

// Service hands out the versions that were added.
type Service struct {
	bytes   atomic.Int64
	refused atomic.Int64
	link    *rate.Limiter
	calls   *rate.Limiter

	mutex    sync.Mutex
	versions map[string]version
}

type version struct {
	tree     fs.FS
	manifest []byte
	// packs holds the packs by path.
	packs map[string]chunks.Pack
}

// open returns a file or a pack of the version.
func (v version) open(path string) (io.ReadSeekCloser, error) {
	p, ok := v.packs[path]
	if !ok {
		return openFile(v.tree, path)
	}
	var all []byte
	for _, f := range p.Files {
		data, err := fs.ReadFile(v.tree, f.Path)
		if err != nil {
			return nil, err
		}
		all = append(all, data...)
	}
	return packed{bytes.NewReader(all)}, nil
}

func openFile(tree fs.FS, path string) (io.ReadSeekCloser, error) {
	f, err := tree.Open(path)
	if err != nil {
		return nil, err
	}
	s, ok := f.(io.ReadSeekCloser)
	if !ok {
		_ = f.Close()
		return nil, fs.ErrInvalid
	}
	return s, nil
}

// packed is an open pack.
type packed struct{ *bytes.Reader }

// Close implements io.Closer.
func (packed) Close() error { return nil }

// New returns a service without versions.
func New(o Options) *Service {
	s := &Service{versions: make(map[string]version)}
	s.link = rate.NewLimiter(rate.Inf, partBytes)
	if o.Rate > 0 {
		s.link = rate.NewLimiter(rate.Limit(o.Rate), max(partBytes, int(o.Rate/20)))
	}
	s.calls = rate.NewLimiter(rate.Inf, 1)
	if o.CallRate > 0 {
		s.calls = rate.NewLimiter(rate.Limit(o.CallRate), o.CallRate*callsBurstSec)
	}
	return s
}

// Register adds the service to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/trees", s.serveAdd).Methods(http.MethodPut)
	r.HandleFunc("/v1/manifests/{digest}", s.serveManifest).Methods(http.MethodGet)
	r.HandleFunc("/v1/weights/{digest}/{path:.+}", s.serveWeights).Methods(http.MethodGet)
	r.HandleFunc("/v1/bytes", s.serveBytes).Methods(http.MethodGet)
}

func (s *Service) serveAdd(w http.ResponseWriter, r *http.Request) {
	chunk, err := strconv.ParseInt(r.URL.Query().Get("chunk"), 10, 64)
	if err != nil {
		chunk = defaultChunk
	}
	digest, err := s.add(r.URL.Query().Get("path"), chunk)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, digest+"\n")
}

func (s *Service) add(path string, chunk int64) (string, error) {
	tree, err := Open(path)
	if err != nil {
		return "", err
	}
	m, err := chunks.Build(tree, chunk, func(chunks.Pack, []byte) error { return nil })
	if err != nil {
		return "", err
	}
	encoded, err := m.Encode()
	if err != nil {
		return "", err
	}
	digest := chunks.Sum(encoded).String()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := version{tree: tree, manifest: encoded, packs: make(map[string]chunks.Pack)}
	for _, p := range m.Packs {
		v.packs[p.Path()] = p
	}
	s.versions[digest] = v
	return digest, nil
}

// Open returns a file or folder as a tree. A file is a tree of one.
func Open(path string) (fs.FS, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return os.DirFS(path), nil
	}
	return oneFile{tree: os.DirFS(filepath.Dir(path)), name: filepath.Base(path)}, nil
}

func (s *Service) serveManifest(w http.ResponseWriter, r *http.Request) {
	v, ok := s.find(w, r)
	if !ok {
		return
	}
	s.send(r.Context(), w, strings.NewReader(string(v.manifest)))
}

func (s *Service) serveWeights(w http.ResponseWriter, r *http.Request) {
	v, ok := s.find(w, r)
	if !ok {
		return
	}
	f, err := v.open(mux.Vars(r)["path"])
	if err != nil {
		http.NotFound(w, r)
		return
	}
	defer func() { _ = f.Close() }()
	first, last, err := parseRange(r.Header.Get("Range"))
	if err != nil {
		http.Error(w, "one byte range is needed", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	if _, err := f.Seek(first, io.SeekStart); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(last-first+1, 10))
	w.WriteHeader(http.StatusPartialContent)
	s.send(r.Context(), w, io.LimitReader(f, last-first+1))
}

func (s *Service) find(w http.ResponseWriter, r *http.Request) (version, bool) {
	if !s.calls.Allow() {
		s.refused.Add(1)
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusTooManyRequests)
		return version{}, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, ok := s.versions[mux.Vars(r)["digest"]]
	if !ok {
		http.NotFound(w, r)
	}
	return v, ok
}

// send writes the bytes at the rate of the link.
func (s *Service) send(ctx context.Context, w io.Writer, r io.Reader) {
	buffer := make([]byte, partBytes)
	for {
		n, err := r.Read(buffer)
		if n > 0 && s.link.WaitN(ctx, n) != nil {
			return
		}
		if _, sent := w.Write(buffer[:n]); sent != nil {
			return
		}
		s.bytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (s *Service) serveBytes(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(s.bytes.Load(), 10)+"\n")
}

var errRange = errors.New("not one byte range")

func parseRange(text string) (first, last int64, err error) {
	a, b, ok := strings.Cut(strings.TrimPrefix(text, "bytes="), "-")
	if !ok {
		return 0, 0, errRange
	}
	first, err = strconv.ParseInt(a, 10, 64)
	if err != nil {
		return 0, 0, errRange
	}
	last, err = strconv.ParseInt(b, 10, 64)
	if err != nil || last < first {
		return 0, 0, errRange
	}
	return first, last, nil
}

// oneFile is a tree that holds a single file.
type oneFile struct {
	tree fs.FS
	name string
}

// Open implements fs.FS.
func (o oneFile) Open(name string) (fs.File, error) {
	if name == o.name {
		return o.tree.Open(name)
	}
	if name == "." {
		return o.tree.Open(".")
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

// ReadDir implements fs.ReadDirFS.
func (o oneFile) ReadDir(string) ([]fs.DirEntry, error) {
	info, err := fs.Stat(o.tree, o.name)
	if err != nil {
		return nil, err
	}
	return []fs.DirEntry{fs.FileInfoToDirEntry(info)}, nil
}
