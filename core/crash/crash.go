// Package crash finds the requests that crash the upstreams which run them.
//
// # Marks
//
// A mark records that an upstream was lost while it ran a request. A lost response alone is
// no crash: links fail too. A mark counts once there is evidence that the upstream itself
// is gone, such as a refused connection or a restart. A request with marks that count, of
// QuarantineThreshold upstreams, is refused.
//
// # Parts of prompts
//
// A part that requests share, such as a system prompt, may crash upstreams too, whatever else the
// requests hold. Marks are also kept by part. Most parts with marks are innocent, because all
// requests of an upstream are lost with it, so that partTable weighs them.
//
// # Workload
//
// The same request arrives again and again, at any entry. Marks are gossiped to all
// entries, so that such a request crashes a few upstreams of the fleet, not a few for each
// entry. One that an upstream has answered since isn't such a request, and others are told so.
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
	// maxMarks bounds the marks that are kept. Beyond it, the oldest marks of requests with no
	// other mark are dropped first.
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

// Request identifies a request and what it shares with others.
type Request struct {
	Whole Fingerprint
	// Parts identify the parts of its prompt that other requests may share.
	Parts []Fingerprint
}

// NewRequest returns the identity of a request with the given shared parts of its prompt.
func NewRequest(target, credential string, body []byte, parts []string) Request {
	q := Request{Whole: FingerprintOf(target, credential, body)}
	for _, id := range parts {
		if p := PartOf(id); !slices.Contains(q.Parts, p) {
			q.Parts = append(q.Parts, p)
		}
	}
	return q
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
	// exports is the number of messages that have held the mark.
	exports int
}

// Registry holds the marks of a process. It is safe for concurrent use.
type Registry struct {
	log   *zap.Logger
	mutex sync.Mutex
	marks map[markKey]mark
	parts *partTable
}

// NewRegistry returns a registry without marks.
func NewRegistry(log *zap.Logger) *Registry {
	return &Registry{log: log, marks: make(map[markKey]mark), parts: newPartTable(log)}
}

// RecordLoss records that an upstream sent no whole response to a request that it may have run, and
// when the request was sent.
func (r *Registry) RecordLoss(q Request, upstream string, sentAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	k := markKey{fingerprint: q.Whole, upstream: upstream}
	if m, ok := r.marks[k]; !ok || !m.at.After(r.parts.survivedAt(q.Whole)) {
		r.put(now, k, mark{at: now})
	}
	r.parts.recordLoss(event{upstream: upstream, at: now, sentAt: sentAt}, q.Parts)
}

// put adds or replaces a mark.
func (r *Registry) put(now time.Time, k markKey, m mark) {
	if _, ok := r.marks[k]; !ok && len(r.marks) >= maxMarks {
		r.prune(now)
	}
	r.marks[k] = m
}

// prune drops half of the marks.
func (r *Registry) prune(now time.Time) {
	r.expire(now)
	ofRequest := make(map[Fingerprint]int)
	for k := range r.marks {
		ofRequest[k.fingerprint]++
	}
	isRepeated := func(k markKey) bool { return ofRequest[k.fingerprint] > 1 }
	keys := slices.SortedFunc(maps.Keys(r.marks), func(x, y markKey) int {
		return cmp.Or(cmp.Compare(boolRank(!isRepeated(x)), boolRank(!isRepeated(y))), r.marks[x].at.Compare(r.marks[y].at))
	})
	dropped := keys[:max(len(keys)-maxMarks/2, 0)]
	for _, k := range dropped {
		delete(r.marks, k)
	}
	r.log.Warn("crash-marks-dropped", zap.Int("dropped", len(dropped)), zap.Int("left", len(r.marks)))
}

// expire drops the marks that no longer count and those that no evidence can confirm any more.
func (r *Registry) expire(now time.Time) {
	maps.DeleteFunc(r.marks, func(_ markKey, m mark) bool {
		return now.Sub(m.at) > markTTL || !m.confirmed && now.Sub(m.at) > evidenceTimeout
	})
}

// RecordSurvival records that an upstream wrote a response to a request and survived.
func (r *Registry) RecordSurvival(q Request) {
	if len(q.Parts) == 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	suspected := false
	for _, p := range q.Parts {
		suspected = r.parts.recordSurvival(now, now, p) || suspected
	}
	if suspected {
		r.parts.judge(now)
	}
}

// RecordAnswer records that an upstream wrote a whole response to a request and survived. Upstreams that
// were lost before with an equal request have another cause.
func (r *Registry) RecordAnswer(q Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	for k := range r.marks {
		if k.fingerprint == q.Whole {
			r.parts.recordSurvival(now, now, q.Whole)
			r.parts.notify(now, q.Whole)
			return
		}
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
	r.parts.recordCrash(now, upstream)
}

// IsQuarantined reports whether a request, or a part of its prompt, has crashed too many
// upstreams.
func (r *Registry) IsQuarantined(q Request) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.parts.isQuarantined(q.Parts) {
		return true
	}
	return len(r.marks) > 0 && r.count(clocks.Now(), q.Whole) >= QuarantineThreshold
}

// count returns the number of marks of a request that no quarantined part of other requests
// explains, since an upstream last answered an equal one.
func (r *Registry) count(now time.Time, f Fingerprint) int {
	n := 0
	answeredAt := r.parts.survivedAt(f)
	for k, m := range r.marks {
		if k.fingerprint == f && m.confirmed && m.at.After(answeredAt) && now.Sub(m.at) < markTTL && !r.parts.isExplained(event{upstream: k.upstream, at: m.at}) {
			n++
		}
	}
	return n
}

// Export implements mesh.CrashMarks. It returns at most half of the marks for parts of prompts, then
// those of requests that were exported least often, the newest first.
func (r *Registry) Export(limit int) []*wire.CrashMark {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	r.expire(now)
	r.parts.expire(now)
	all := r.parts.export(now, limit/2)
	var keys []markKey
	for k, m := range r.marks {
		if m.confirmed && m.at.After(r.parts.survivedAt(k.fingerprint)) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y markKey) int {
		return cmp.Or(cmp.Compare(r.marks[x].exports, r.marks[y].exports), r.marks[y].at.Compare(r.marks[x].at), slices.Compare(x.fingerprint[:], y.fingerprint[:]))
	})
	for _, k := range keys[:min(len(keys), limit-len(all))] {
		m := r.marks[k]
		m.exports++
		r.marks[k] = m
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
	judge := false
	for _, m := range marks {
		if m.Upstream != "" && m.Age >= 0 && len(m.Fingerprint) == 0 {
			r.parts.addEvent(event{upstream: m.Upstream, at: now.Add(-time.Duration(m.Age) * time.Millisecond)})
			continue
		}
		k := markKey{upstream: m.Upstream}
		if copy(k.fingerprint[:], m.Fingerprint) != len(k.fingerprint) || m.Upstream == "" && !m.Survived || m.Age < 0 {
			continue
		}
		if m.Part > 0 {
			judge = r.parts.merge(now, k.fingerprint, m) || judge
			continue
		}
		r.mergeMark(now, k, now.Add(-time.Duration(m.Age)*time.Millisecond), from)
	}
	if judge {
		r.parts.judge(now)
	}
}

// mergeMark adds the mark of a whole request that another process reports, unless it is known or an
// upstream has answered the request since.
func (r *Registry) mergeMark(now time.Time, k markKey, at time.Time, from hosts.Name) {
	answeredAt := r.parts.survivedAt(k.fingerprint)
	if !answeredAt.IsZero() && !at.After(answeredAt) {
		r.parts.notify(now, k.fingerprint)
		return
	}
	if known := r.marks[k]; known.confirmed && known.at.After(answeredAt) {
		return
	}
	r.put(now, k, mark{at: at, confirmed: true})
	r.log.Warn("crash-mark", zap.String("fingerprint", hex.EncodeToString(k.fingerprint[:])),
		zap.String("upstream", k.upstream), zap.String("evidence", "reported by "+string(from)),
		zap.Int("marks", r.count(now, k.fingerprint)))
}
