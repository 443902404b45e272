// Package values stands in for the configuration service.
//
// Readers use GET /v1/values/KIND, with seen=REVISION to wait for news. The
// platform publishes with PUT /v1/values/KIND. PUT /v1/fault sets what goes
// wrong: none, down, stale, slow, half or silent.
package values

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"currantport.example/stand/internal/pack"
)

const (
	watchWait = 20 * time.Second
	slowWait  = 2 * time.Second
	maxBytes  = 1 << 20
)

// Fault is what goes wrong at the service.
type Fault string

// The faults of the service.
const (
	FaultNone      Fault = "none"
	FaultDown      Fault = "down"
	FaultStale     Fault = "stale"
	FaultSlow      Fault = "slow"
	FaultTruncated Fault = "half"
	FaultSilent    Fault = "silent"
)

// Service holds the published values.
type Service struct {
	reads atomic.Int64

	mutex  sync.Mutex
	values map[string]value
	// shown is what readers get while the service is stale.
	shown map[string]value
	fault Fault
	// news is closed and replaced when a value or the fault changes.
	news chan struct{}
	// done is closed once the service stops, which ends every watch.
	done chan struct{}
}

type value struct {
	revision uint64
	data     []byte
}

// New returns a service whose values are empty. The clean-up function ends the
// watches that wait.
func New() (*Service, func()) {
	s := &Service{
		values: make(map[string]value), shown: make(map[string]value), fault: FaultNone,
		news: make(chan struct{}), done: make(chan struct{}),
	}
	return s, func() { close(s.done) }
}

// Register adds the service to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/values/{kind}", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{kind}", s.servePublish).Methods(http.MethodPut)
	r.HandleFunc("/v1/fault", s.serveFault).Methods(http.MethodPut)
	r.HandleFunc("/v1/reads", s.serveReads).Methods(http.MethodGet)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	kind := mux.Vars(r)["kind"]
	v, fault, news := s.read(kind)
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err == nil && v.revision == seen {
		select {
		case <-news:
		case <-s.done:
		case <-time.After(watchWait):
		case <-r.Context().Done():
			return
		}
		v, fault, _ = s.read(kind)
	}
	s.answer(w, r, v, fault)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, v value, fault Fault) {
	switch fault {
	case FaultDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultSilent:
		select {
		case <-s.done:
		case <-r.Context().Done():
		}
		return
	case FaultSlow:
		time.Sleep(slowWait)
	}
	w.Header().Set("Revision", strconv.FormatUint(v.revision, 10))
	body := pack.EncodeBody(w.Header(), r, v.data)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == FaultTruncated {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Service) servePublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind := mux.Vars(r)["kind"]
	next := value{revision: s.values[kind].revision + 1, data: data}
	s.values[kind] = next
	if s.fault != FaultStale {
		s.shown[kind] = next
	}
	s.announce()
	w.Header().Set("Revision", strconv.FormatUint(next.revision, 10))
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = Fault(data)
	if s.fault != FaultStale {
		for k, v := range s.values {
			s.shown[k] = v
		}
	}
	s.announce()
}

func (s *Service) serveReads(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(s.reads.Load(), 10)+"\n")
}

func (s *Service) read(kind string) (value, Fault, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shown[kind], s.fault, s.news
}

func (s *Service) announce() {
	close(s.news)
	s.news = make(chan struct{})
}
