// Package values is a fake of the configuration service.
//
// Readers use GET /v1/values/KIND; with seen=REVISION the request is a long poll
// that returns once the revision differs. The platform publishes with
// PUT /v1/values/KIND. PUT /v1/fault injects a fault: none, down, stale, slow, half
// or silent. GET /v1/reads returns the number of reads so far.
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
	watchTimeout = 20 * time.Second
	slowDelay    = 2 * time.Second
	maxBodyBytes = 1 << 20
)

// Fault is an injected fault of the service.
type Fault string

// The faults of the service.
const (
	FaultNone Fault = "none"
	// FaultDown makes reads fail with status 503.
	FaultDown Fault = "down"
	// FaultStale makes reads return the values from before the fault.
	FaultStale Fault = "stale"
	// FaultSlow delays each response.
	FaultSlow Fault = "slow"
	// FaultTruncated aborts each response after half of the body.
	FaultTruncated Fault = "half"
	// FaultSilent leaves each read without a response.
	FaultSilent Fault = "silent"
)

// Service holds the published values.
type Service struct {
	reads atomic.Int64

	mutex  sync.Mutex
	values map[string]value
	// visible holds the values that readers get. While the service is stale, it
	// isn't updated.
	visible map[string]value
	fault   Fault
	// changed is closed and replaced when a value or the fault changes.
	changed chan struct{}
	// stopped is closed when the service stops, which ends every long poll.
	stopped chan struct{}
}

type value struct {
	revision uint64
	data     []byte
}

// New returns a service whose values are empty, and a clean-up function that ends
// the long polls in progress.
func New() (*Service, func()) {
	s := &Service{
		values: make(map[string]value), visible: make(map[string]value), fault: FaultNone,
		changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	return s, func() { close(s.stopped) }
}

// Register adds the handlers to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/values/{kind}", s.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{kind}", s.servePublish).Methods(http.MethodPut)
	r.HandleFunc("/v1/fault", s.serveFault).Methods(http.MethodPut)
	r.HandleFunc("/v1/reads", s.serveReads).Methods(http.MethodGet)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	kind := mux.Vars(r)["kind"]
	v, fault, changed := s.read(kind)
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err == nil && v.revision == seen {
		select {
		case <-changed:
		case <-s.stopped:
		case <-time.After(watchTimeout):
		case <-r.Context().Done():
			return
		}
		v, fault, _ = s.read(kind)
	}
	s.respond(w, r, v, fault)
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, v value, fault Fault) {
	switch fault {
	case FaultDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultSilent:
		select {
		case <-s.stopped:
		case <-r.Context().Done():
		}
		return
	case FaultSlow:
		select {
		case <-time.After(slowDelay):
		case <-s.stopped:
			return
		case <-r.Context().Done():
			return
		}
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
		s.visible[kind] = next
	}
	s.notify()
	w.Header().Set("Revision", strconv.FormatUint(next.revision, 10))
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = Fault(data)
	if s.fault != FaultStale {
		for k, v := range s.values {
			s.visible[k] = v
		}
	}
	s.notify()
}

func (s *Service) serveReads(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatInt(s.reads.Load(), 10)+"\n")
}

func (s *Service) read(kind string) (value, Fault, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.visible[kind], s.fault, s.changed
}

func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
