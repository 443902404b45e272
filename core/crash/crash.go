// Package crash finds the requests that crash the upstreams which run them.
//
// # Marks
//
// A mark says that an upstream was lost while it ran a request. A lost answer alone
// is no crash: links fail too. A mark counts once there is evidence that the upstream
// itself has gone, such as a refused connection or a new start. A request with marks
// of Limit upstreams is refused.
//
// # Load it answers
//
// The same request comes again and again, at any entry. Marks are told to all entries
// with the gossip, so that it costs the fleet few upstreams, not few for each entry.
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

// QuarantineThreshold is the number of upstreams that a request may crash before it is refused.
const QuarantineThreshold = 2

const (
	// lifetime is how long a mark counts.
	lifetime = 5 * time.Minute
	// pendingLife is how long evidence for a crash may take to arrive. A platform
	// lists an upstream as gone after a few silent heartbeats.
	pendingLife = 8 * time.Second
	// maxMarks bounds the marks that are kept.
	maxMarks = 4096
)

// Fingerprint names a request through all its tries.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
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

// key names a mark.
type key struct {
	fingerprint Fingerprint
	upstream    string
}

// mark is a lost run of a request.
type mark struct {
	at time.Time
	// counts tells that there is evidence that the upstream has crashed.
	counts bool
}

// Registry holds the marks of a process. Goroutines share it.
type Registry struct {
	log   *zap.Logger
	mutex sync.Mutex
	marks map[key]mark
}

// NewRegistry returns a book without marks.
func NewRegistry(log *zap.Logger) *Registry { return &Registry{log: log, marks: make(map[key]mark)} }

// RecordLoss records that an upstream gave no answer to a request that it may have run.
func (b *Registry) RecordLoss(f Fingerprint, upstream string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	k := key{fingerprint: f, upstream: upstream}
	if _, ok := b.marks[k]; !ok && len(b.marks) < maxMarks {
		b.marks[k] = mark{at: clocks.Now()}
	}
}

// RecordCrash records evidence that an upstream has gone.
func (b *Registry) RecordCrash(upstream, evidence string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := clocks.Now()
	for k, m := range b.marks {
		if k.upstream != upstream || m.counts || now.Sub(m.at) > pendingLife {
			continue
		}
		m.counts = true
		b.marks[k] = m
		b.log.Warn("crash-mark", zap.String("fingerprint", hex.EncodeToString(k.fingerprint[:])),
			zap.String("upstream", upstream), zap.String("evidence", evidence), zap.Duration("age", now.Sub(m.at)),
			zap.Int("marks", b.count(now, k.fingerprint)))
	}
}

// IsQuarantined reports whether a request has crashed too many upstreams.
func (b *Registry) IsQuarantined(f Fingerprint) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.marks) == 0 {
		return false
	}
	return b.count(clocks.Now(), f) >= QuarantineThreshold
}

func (b *Registry) count(now time.Time, f Fingerprint) int {
	n := 0
	for k, m := range b.marks {
		if k.fingerprint == f && m.counts && now.Sub(m.at) < lifetime {
			n++
		}
	}
	return n
}

// Spread implements mesh.Marks. The newest marks are told first.
func (b *Registry) Spread(most int) []*wire.CrashMark {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := clocks.Now()
	maps.DeleteFunc(b.marks, func(_ key, m mark) bool {
		return now.Sub(m.at) > lifetime || !m.counts && now.Sub(m.at) > pendingLife
	})
	var keys []key
	for k, m := range b.marks {
		if m.counts {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y key) int {
		return cmp.Or(b.marks[y].at.Compare(b.marks[x].at), slices.Compare(x.fingerprint[:], y.fingerprint[:]))
	})
	var all []*wire.CrashMark
	for _, k := range keys[:min(len(keys), most)] {
		all = append(all, &wire.CrashMark{
			Fingerprint: slices.Clone(k.fingerprint[:]), Upstream: k.upstream, Age: now.Sub(b.marks[k].at).Milliseconds(),
		})
	}
	return all
}

// Take implements mesh.Marks.
func (b *Registry) Take(from hosts.Name, marks []*wire.CrashMark) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := clocks.Now()
	for _, m := range marks {
		k := key{upstream: m.Upstream}
		if copy(k.fingerprint[:], m.Fingerprint) != len(k.fingerprint) || m.Upstream == "" || m.Age < 0 {
			continue
		}
		if known := b.marks[k]; known.counts || len(b.marks) >= maxMarks {
			continue
		}
		b.marks[k] = mark{at: now.Add(-time.Duration(m.Age) * time.Millisecond), counts: true}
		b.log.Warn("crash-mark", zap.String("fingerprint", hex.EncodeToString(k.fingerprint[:])),
			zap.String("upstream", m.Upstream), zap.String("evidence", "told by "+string(from)),
			zap.Int("marks", b.count(now, k.fingerprint)))
	}
}
