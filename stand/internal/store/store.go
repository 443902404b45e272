// Package store is a fake of the weight store and of the origin.
//
// PUT /v1/trees?path=PATH adds a file or folder as a version and returns the
// digest of its manifest. GET /v1/manifests/DIGEST and
// GET /v1/weights/DIGEST/FILE with a byte range read it. GET /v1/bytes returns the
// number of bytes sent so far.
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
	bufferBytes       = 64 << 10
	retryAfterSeconds = "1"
	defaultChunkBytes = 1 << 20
	callBurstSeconds  = 1
)

// Options limit the service.
type Options struct {
	// Rate is in bytes per second. Zero means unlimited.
	Rate int64
	// CallRate is the number of calls per second. Zero means unlimited. Calls above
	// it get status 429.
	CallRate int
}

// Service serves the versions that were added.
type Service struct {
	bytesSent   atomic.Int64
	byteLimiter *rate.Limiter
	callLimiter *rate.Limiter

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
	return packReader{bytes.NewReader(all)}, nil
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

// packReader reads a pack from memory.
type packReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (packReader) Close() error { return nil }

// New returns a service without versions.
func New(o Options) *Service {
	s := &Service{versions: make(map[string]version)}
	s.byteLimiter = rate.NewLimiter(rate.Inf, bufferBytes)
	if o.Rate > 0 {
		s.byteLimiter = rate.NewLimiter(rate.Limit(o.Rate), max(bufferBytes, int(o.Rate/20)))
	}
	s.callLimiter = rate.NewLimiter(rate.Inf, 1)
	if o.CallRate > 0 {
		s.callLimiter = rate.NewLimiter(rate.Limit(o.CallRate), o.CallRate*callBurstSeconds)
	}
	return s
}

// Register adds the handlers to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/trees", s.serveAdd).Methods(http.MethodPut)
	r.HandleFunc("/v1/manifests/{digest}", s.serveManifest).Methods(http.MethodGet)
	r.HandleFunc("/v1/weights/{digest}/{path:.+}", s.serveWeights).Methods(http.MethodGet)
	r.HandleFunc("/v1/bytes", s.serveBytes).Methods(http.MethodGet)
}

func (s *Service) serveAdd(w http.ResponseWriter, r *http.Request) {
	chunkBytes, err := strconv.ParseInt(r.URL.Query().Get("chunk"), 10, 64)
	if err != nil {
		chunkBytes = defaultChunkBytes
	}
	digest, err := s.add(r.URL.Query().Get("path"), chunkBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, digest+"\n")
}

func (s *Service) add(path string, chunkBytes int64) (string, error) {
	tree, err := Open(path)
	if err != nil {
		return "", err
	}
	m, err := chunks.Build(tree, chunkBytes, func(chunks.Pack, []byte) error { return nil })
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

// Open returns a file or folder as a file system. For a file it holds just that
// file.
func Open(path string) (fs.FS, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return os.DirFS(path), nil
	}
	return singleFileFS{tree: os.DirFS(filepath.Dir(path)), name: filepath.Base(path)}, nil
}

func (s *Service) serveManifest(w http.ResponseWriter, r *http.Request) {
	v, ok := s.findVersion(w, r)
	if !ok {
		return
	}
	s.sendBody(r.Context(), w, strings.NewReader(string(v.manifest)))
}

func (s *Service) serveWeights(w http.ResponseWriter, r *http.Request) {
	v, ok := s.findVersion(w, r)
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
	s.sendBody(r.Context(), w, io.LimitReader(f, last-first+1))
}

func (s *Service) findVersion(w http.ResponseWriter, r *http.Request) (version, bool) {
	if !s.callLimiter.Allow() {
		w.Header().Set("Retry-After", retryAfterSeconds)
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

// sendBody copies r to w at the rate of the link.
func (s *Service) sendBody(ctx context.Context, w io.Writer, r io.Reader) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := r.Read(buffer)
		if n > 0 && s.byteLimiter.WaitN(ctx, n) != nil {
			return
		}
		if _, sent := w.Write(buffer[:n]); sent != nil {
			return
		}
		s.bytesSent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (s *Service) serveBytes(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(s.bytesSent.Load(), 10)+"\n")
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

// singleFileFS is a file system that holds a single file.
type singleFileFS struct {
	tree fs.FS
	name string
}

// Open implements fs.FS.
func (s singleFileFS) Open(name string) (fs.File, error) {
	if name == s.name {
		return s.tree.Open(name)
	}
	if name == "." {
		return s.tree.Open(".")
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

// ReadDir implements fs.ReadDirFS.
func (s singleFileFS) ReadDir(string) ([]fs.DirEntry, error) {
	info, err := fs.Stat(s.tree, s.name)
	if err != nil {
		return nil, err
	}
	return []fs.DirEntry{fs.FileInfoToDirEntry(info)}, nil
}
