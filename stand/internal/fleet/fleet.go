// Package fleet is a fake of the service that publishes the platform's list of
// hosts.
//
// Readers use GET /v1/hosts, with If-None-Match to get status 304 for a list that
// they hold already. The platform sets the list with PUT /v1/hosts.
package fleet

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"currantport.example/stand/internal/pack"
)

const maxBodyBytes = 8 << 20

// Service serves the encoded list.
type Service struct {
	mutex sync.Mutex
	list  []byte
	// tag is the entity tag of the list.
	tag string
}

// New returns a service whose list is empty.
func New() *Service {
	s := &Service{}
	s.set([]byte(`{"hosts":[]}`))
	return s
}

func (s *Service) set(list []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list, s.tag = list, fmt.Sprintf(`"%x"`, sha256.Sum256(list))
}

// Register adds the handlers to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/hosts", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/hosts", s.serveSet).Methods(http.MethodPut)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	list, tag := s.list, s.tag
	s.mutex.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(pack.EncodeBody(w.Header(), r, list))
}

func (s *Service) serveSet(w http.ResponseWriter, r *http.Request) {
	list, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(list)
}
