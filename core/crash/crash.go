// Package crash finds the requests that crash the upstreams which run them.
//
// # Marks
//
// A mark records that an upstream was lost while it ran a request. A lost response alone is
// no crash: links fail too. A mark counts once there is evidence that the upstream itself
// is gone, such as a refused connection or a restart. A request with marks that count, of
// QuarantineThreshold upstreams, is refused.
//
// # Workload
//
// The same request arrives again and again, at any entry. Marks are gossiped to all
// entries, so that such a request crashes a few upstreams of the fleet, not a few for each
// entry.
package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

// QuarantineThreshold is the number of upstreams that a request may crash before it is
// refused.
const QuarantineThreshold = 2

const (
	// markTTL is how long a mark counts.
	markTTL = 5 * time.Minute
	// evidenceTimeout is how long evidence of a crash may take to arrive. A platform lists
	// an upstream as removed after a few missed heartbeats.
	evidenceTimeout = 8 * time.Second
	// maxMarks bounds the marks that are kept.
	maxMarks = 4096
)

// Fingerprint identifies a request across all its attempts.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Requests with the same target,
// credential and body have the same one.
func FingerprintOf(target, credential string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(target), []byte(credential), body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// markKey identifies a mark.
type markKey struct {
	fingerprint Fingerprint
	upstream    string
}

// mark records an attempt that an upstream lost.
type mark struct {
	at time.Time
	// confirmed is true if there is evidence that the upstream has crashed.
	confirmed bool
}

// Registry holds the marks of a process. It is safe for concurrent use.
type Registry struct {
	log   *zap.Logger
	mutex sync.Mutex
	marks map[markKey]mark
}

// NewRegistry returns a registry without marks.
func NewRegistry(log *zap.Logger) *Registry {
	return &Registry{log: log, marks: make(map[markKey]mark)}
}

// RecordLoss records that an upstream sent no response to a request that it may have run.
func (r *Registry) RecordLoss(f Fingerprint, upstream string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := markKey{fingerprint: f, upstream: upstream}
	if _, ok := r.marks[k]; !ok && len(r.marks) < maxMarks {
		r.marks[k] = mark{at: clocks.Now()}
	}
}

// RecordCrash records evidence that an upstream has crashed. It confirms the recent marks
// of the upstream.
func (r *Registry) RecordCrash(upstream, evidence string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	for k, m := range r.marks {
		if k.upstream != upstream || m.confirmed || now.Sub(m.at) > evidenceTimeout {
			continue
		}
		m.confirmed = true
		r.marks[k] = m
		r.log.Warn("crash-mark", zap.String("fingerprint", hex.EncodeToString(k.fingerprint[:])),
			zap.String("upstream", upstream), zap.String("evidence", evidence), zap.Duration("age", now.Sub(m.at)),
			zap.Int("marks", r.count(now, k.fingerprint)))
	}
}

// IsQuarantined reports whether a request has crashed too many upstreams.
func (r *Registry) IsQuarantined(f Fingerprint) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.marks) == 0 {
		return false
	}
	return r.count(clocks.Now(), f) >= QuarantineThreshold
}

func (r *Registry) count(now time.Time, f Fingerprint) int {
	n := 0
	for k, m := range r.marks {
		if k.fingerprint == f && m.confirmed && now.Sub(m.at) < markTTL {
			n++
		}
	}
	return n
}

// Export implements mesh.CrashMarks. It returns the newest marks first.
func (r *Registry) Export(limit int) []*wire.CrashMark {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	maps.DeleteFunc(r.marks, func(_ markKey, m mark) bool {
		return now.Sub(m.at) > markTTL || !m.confirmed && now.Sub(m.at) > evidenceTimeout
	})
	var keys []markKey
	for k, m := range r.marks {
		if m.confirmed {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y markKey) int {
		return cmp.Or(r.marks[y].at.Compare(r.marks[x].at), slices.Compare(x.fingerprint[:], y.fingerprint[:]))
	})
	var all []*wire.CrashMark
	for _, k := range keys[:min(len(keys), limit)] {
		all = append(all, &wire.CrashMark{
			Fingerprint: slices.Clone(k.fingerprint[:]), Upstream: k.upstream, Age: now.Sub(r.marks[k].at).Milliseconds(),
		})
	}
	return all
}

// Merge implements mesh.CrashMarks. It ignores invalid marks.
func (r *Registry) Merge(from hosts.Name, marks []*wire.CrashMark) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	for _, m := range marks {
		k := markKey{upstream: m.Upstream}
		if copy(k.fingerprint[:], m.Fingerprint) != len(k.fingerprint) || m.Upstream == "" || m.Age < 0 {
			continue
		}
		if known := r.marks[k]; known.confirmed || len(r.marks) >= maxMarks {
			continue
		}
		r.marks[k] = mark{at: now.Add(-time.Duration(m.Age) * time.Millisecond), confirmed: true}
		r.log.Warn("crash-mark", zap.String("fingerprint", hex.EncodeToString(k.fingerprint[:])),
			zap.String("upstream", m.Upstream), zap.String("evidence", "reported by "+string(from)),
			zap.Int("marks", r.count(now, k.fingerprint)))
	}
}
