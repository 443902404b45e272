package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/wire"
)

const (
	// majorityThreshold is the number of moments of crashes after which a part of a prompt is
	// quarantined that was present in half of the crashes that nothing else explains.
	majorityThreshold = 4
	// minorityThreshold is the same for a part that was present in one of minorityShare crashes,
	// and for one that upstreams survived before, which may crash a new version only.
	minorityThreshold = 5
	minorityShare     = 4
	// survivedTimeout is how long no upstream has survived the part in the latter case.
	survivedTimeout = 3 * time.Second
	// momentGap separates the moments of crashes. Upstreams that end together, as with their
	// power, say no more about their requests than one of them, unless a request was sent to the
	// later one after the earlier one had crashed.
	momentGap = 50 * time.Millisecond
	// sameCrash is how far apart two processes may date one crash of an upstream.
	sameCrash = time.Second
	// maxSuspects, maxCrashes, maxEvents and maxSurvivors bound what is kept: parts that were lost
	// with an upstream, crashes of each, crashes of all, and in each of two generations parts that
	// upstreams survived.
	maxSuspects  = 1024
	maxCrashes   = 16
	maxEvents    = 256
	maxSurvivors = 4096
	// survivalNotice is how long other processes are told that a part they suspect was survived.
	survivalNotice = 5 * time.Second
)

// PartOf returns the fingerprint of a part of a prompt.
func PartOf(id string) Fingerprint {
	sum := sha256.Sum256([]byte("part " + id))
	var f Fingerprint
	copy(f[:], sum[:])
	return f
}

// event is the crash of an upstream.
type event struct {
	upstream string
	at       time.Time
	// sentAt is when the request was sent that was lost, or zero if another process sent it.
	sentAt time.Time
}

// follows reports whether the crash has another cause in time than an earlier one.
func (e event) follows(earlier event) bool {
	return e.at.Sub(earlier.at) >= momentGap || !e.sentAt.IsZero() && !e.sentAt.Before(earlier.at)
}

func (e event) is(o event) bool { return e.upstream == o.upstream && e.at.Sub(o.at).Abs() < sameCrash }

// suspect is a part of a prompt of which requests were lost with their upstreams.
type suspect struct {
	// position is the largest position of the part in a prompt, from one.
	position int
	// losses lack evidence of a crash so far.
	losses []event
	// crashes come after the last time that an upstream survived the part.
	crashes     []event
	quarantined bool
	// rivals are the parts that may be the cause just as well, since no upstream has survived
	// them either and they were present in the same crashes. While there are any, only requests
	// with one of them beside the part are refused. What the others do tells the cause.
	rivals []Fingerprint
	// adopted is set if another process has quarantined the part and none has told that an
	// upstream ever survived it.
	adopted bool
}

// partTable finds the parts of prompts that crash each upstream which writes a response to them.
// It isn't safe for concurrent use.
//
// Requests that run beside a poisonous one are lost with it, so most suspects are innocent. A part
// is quarantined if no upstream survives it, if it was present in a quarter of the crashes at least, and
// if no other quarantined part explains them. Whatever is learned later, such as that an upstream
// survived the part at another process, decides anew.
type partTable struct {
	log      *zap.Logger
	suspects map[Fingerprint]*suspect
	// survivors holds when an upstream last survived each part, older ones in former.
	survivors map[Fingerprint]time.Time
	former    map[Fingerprint]time.Time
	// convicted are the suspects that are quarantined.
	convicted []*suspect
	// events are the last crashes, in the order in which they became known.
	events []event
	// notices are the parts of which other processes are told that upstreams survived them, and
	// until when.
	notices map[Fingerprint]time.Time
}

func newPartTable(log *zap.Logger) *partTable {
	return &partTable{
		log: log, suspects: make(map[Fingerprint]*suspect), survivors: make(map[Fingerprint]time.Time), notices: make(map[Fingerprint]time.Time),
	}
}

// survivedAt returns when an upstream last survived the part, or zero.
func (t *partTable) survivedAt(p Fingerprint) time.Time {
	if at, ok := t.survivors[p]; ok {
		return at
	}
	return t.former[p]
}

func (t *partTable) recordLoss(e event, parts []Fingerprint) {
	for i, p := range parts {
		if s := t.suspect(p, i+1); s != nil && len(s.losses) < maxCrashes {
			s.losses = append(s.losses, e)
		}
	}
}

// suspect returns the state of a part, or nil if there are too many suspects with crashes.
func (t *partTable) suspect(p Fingerprint, position int) *suspect {
	s := t.suspects[p]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.dropUnconfirmed() {
			return nil
		}
		s = &suspect{}
		t.suspects[p] = s
	}
	s.position = max(s.position, position)
	return s
}

// dropUnconfirmed forgets a suspect without crashes and reports whether there was one.
func (t *partTable) dropUnconfirmed() bool {
	for p, s := range t.suspects {
		if len(s.crashes) == 0 {
			delete(t.suspects, p)
			return true
		}
	}
	return false
}

// recordCrash confirms the recent losses of an upstream.
func (t *partTable) recordCrash(now time.Time, upstream string) {
	changed := false
	for p, s := range t.suspects {
		s.losses = slices.DeleteFunc(s.losses, func(l event) bool {
			if l.upstream != upstream {
				return false
			}
			if now.Sub(l.at) <= evidenceTimeout {
				changed = t.addCrash(p, s, l) || changed
			}
			return true
		})
	}
	if changed {
		t.judge(now)
	}
}

// addCrash adds a crash to a part unless it is known or an upstream survived the part since.
func (t *partTable) addCrash(p Fingerprint, s *suspect, e event) bool {
	if !e.at.After(t.survivedAt(p)) || len(s.crashes) >= maxCrashes || slices.ContainsFunc(s.crashes, e.is) {
		return false
	}
	s.crashes = append(s.crashes, e)
	t.addEvent(e)
	return true
}

// addEvent adds a crash that is to be explained.
func (t *partTable) addEvent(e event) {
	if !slices.ContainsFunc(t.events, e.is) {
		t.events = append(t.events[max(len(t.events)-maxEvents+1, 0):], e)
	}
}

// recordSurvival records that an upstream survived the part of a prompt.
func (t *partTable) recordSurvival(now, at time.Time, p Fingerprint) {
	if !at.After(t.survivedAt(p)) {
		return
	}
	if len(t.survivors) >= maxSurvivors {
		t.survivors, t.former = make(map[Fingerprint]time.Time), t.survivors
	}
	t.survivors[p] = at
	s := t.suspects[p]
	if s == nil {
		return
	}
	suspected := len(s.crashes) > 0
	s.adopted = false
	earlier := func(e event) bool { return !e.at.After(at) }
	s.losses, s.crashes = slices.DeleteFunc(s.losses, earlier), slices.DeleteFunc(s.crashes, earlier)
	if suspected {
		t.notices[p] = now.Add(survivalNotice)
		t.judge(now)
	}
	if len(s.losses)+len(s.crashes) == 0 {
		delete(t.suspects, p)
	}
}

// judge decides anew which parts are quarantined.
func (t *partTable) judge(now time.Time) {
	t.convicted = t.convicted[:0]
	ranked := t.ranked()
	for _, p := range ranked {
		s := t.suspects[p]
		before, rivals := s.quarantined, len(s.rivals)
		left := slices.DeleteFunc(slices.Clone(s.crashes), t.isExplained)
		s.rivals = nil
		if s.quarantined = t.convicts(now, p, left); s.quarantined {
			s.rivals = t.rivalsOf(p, left, ranked)
			t.convicted = append(t.convicted, s)
		}
		if s.quarantined != before || len(s.rivals) != rivals {
			t.log.Warn("prompt-part-quarantined", zap.String("part", hex.EncodeToString(p[:])), zap.Bool("quarantined", s.quarantined),
				zap.Int("rivals", len(s.rivals)), zap.Int("crashes", len(s.crashes)), zap.Int("unexplained", len(left)), zap.Int("of", len(t.events)), zap.Time("survived", t.survivedAt(p)))
		}
	}
}

// rivalsOf returns the other parts that may have caused the crashes of a part.
func (t *partTable) rivalsOf(p Fingerprint, crashes []event, ranked []Fingerprint) []Fingerprint {
	var rivals []Fingerprint
	if !t.survivedAt(p).IsZero() || t.suspects[p].adopted {
		return nil
	}
	for _, r := range ranked {
		shared := func(e event) bool { return slices.ContainsFunc(t.suspects[r].crashes, e.is) }
		if r != p && t.survivedAt(r).IsZero() && count(crashes, shared) >= majorityThreshold {
			rivals = append(rivals, r)
		}
	}
	return rivals
}

// ranked returns the suspects with crashes, the most likely causes first: those that no upstream
// has survived, then those with more crashes, then those that fewer requests share.
func (t *partTable) ranked() []Fingerprint {
	all := make([]Fingerprint, 0, len(t.suspects))
	for p, s := range t.suspects {
		if len(s.crashes) > 0 {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(x, y Fingerprint) int {
		a, b := t.suspects[x], t.suspects[y]
		return cmp.Or(cmp.Compare(rankOf(t.survivedAt(x).IsZero()), rankOf(t.survivedAt(y).IsZero())), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.position, a.position), slices.Compare(x[:], y[:]))
	})
	return all
}

// rankOf returns a rank by which those for which something is true come first.
func rankOf(isFirst bool) int {
	if isFirst {
		return 0
	}
	return 1
}

// convicts reports whether crashes that nothing else explains suffice to quarantine a part.
func (t *partTable) convicts(now time.Time, p Fingerprint, crashes []event) bool {
	if t.suspects[p].adopted {
		return true
	}
	survivedAt := t.survivedAt(p)
	if len(crashes) < majorityThreshold || !survivedAt.IsZero() && now.Sub(survivedAt) < survivedTimeout {
		return false
	}
	slices.SortFunc(crashes, func(a, b event) int { return a.at.Compare(b.at) })
	others := slices.DeleteFunc(slices.Clone(t.events), func(e event) bool {
		return e.at.Before(crashes[0].at.Add(-momentGap)) || slices.ContainsFunc(crashes, e.is) || t.isExplained(e)
	})
	moments := countMoments(crashes, others)
	if moments < minorityThreshold {
		return moments >= majorityThreshold && survivedAt.IsZero() && len(others) <= len(crashes)
	}
	return len(others) <= (minorityShare-1)*len(crashes)
}

// countMoments returns the number of moments at which upstreams crashed with a part, in order of
// time. Those at which more others crashed have another cause.
func countMoments(crashes, others []event) int {
	moments := 0
	var last event
	for _, e := range crashes {
		if moments > 0 && !e.follows(last) {
			continue
		}
		together := func(o event) bool { return o.at.Sub(e.at).Abs() < momentGap }
		if count(others, together) <= count(crashes, together) {
			moments++
			last = e
		}
	}
	return moments
}

func count(all []event, matches func(event) bool) int {
	n := 0
	for _, e := range all {
		if matches(e) {
			n++
		}
	}
	return n
}

// isExplained reports whether a quarantined part explains the crash.
func (t *partTable) isExplained(e event) bool {
	return slices.ContainsFunc(t.convicted, func(s *suspect) bool { return slices.ContainsFunc(s.crashes, e.is) })
}

func (t *partTable) isQuarantined(parts []Fingerprint) bool {
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil || !s.quarantined {
			continue
		}
		if len(s.rivals) == 0 || slices.ContainsFunc(s.rivals, func(r Fingerprint) bool { return slices.Contains(parts, r) }) {
			return true
		}
	}
	return false
}

// expire forgets what is too old to count.
func (t *partTable) expire(now time.Time) {
	old := func(e event) bool { return now.Sub(e.at) > markTTL }
	t.events = slices.DeleteFunc(t.events, old)
	expired := false
	for p, s := range t.suspects {
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, old)
		s.losses = slices.DeleteFunc(s.losses, func(e event) bool { return now.Sub(e.at) > evidenceTimeout })
		expired = expired || len(s.crashes) < before
		if len(s.losses)+len(s.crashes) == 0 {
			delete(t.suspects, p)
		}
	}
	maps.DeleteFunc(t.notices, func(_ Fingerprint, until time.Time) bool { return now.After(until) })
	if expired {
		t.judge(now)
	}
}

// export returns at most the given number of marks: parts that other processes suspect and that
// upstreams have survived, the last crashes, and those of the most likely causes.
func (t *partTable) export(now time.Time, limit int) []*wire.CrashMark {
	var marks []*wire.CrashMark
	notices := slices.SortedFunc(maps.Keys(t.notices), func(a, b Fingerprint) int {
		return cmp.Or(t.notices[b].Compare(t.notices[a]), slices.Compare(a[:], b[:]))
	})
	for _, p := range notices[:min(len(notices), limit/4)] {
		marks = append(marks, &wire.CrashMark{Fingerprint: slices.Clone(p[:]), Part: 1, Survived: true, Age: now.Sub(t.survivedAt(p)).Milliseconds()})
	}
	for _, e := range t.events[max(len(t.events)-limit/4, 0):] {
		marks = append(marks, &wire.CrashMark{Upstream: e.upstream, Age: now.Sub(e.at).Milliseconds()})
	}
	ranked := t.ranked()
	slices.SortStableFunc(ranked, func(a, b Fingerprint) int {
		return cmp.Compare(rankOf(t.suspects[a].quarantined), rankOf(t.suspects[b].quarantined))
	})
	for _, p := range ranked {
		// Others, who may not have seen that upstreams survive the part, would suspect it.
		if !t.survivedAt(p).IsZero() && !t.suspects[p].quarantined {
			continue
		}
		crashes := t.suspects[p].crashes
		for _, e := range crashes[max(len(crashes)-minorityThreshold, 0):] {
			if len(marks) == limit {
				return marks
			}
			marks = append(marks, &wire.CrashMark{Fingerprint: slices.Clone(p[:]), Part: uint32(t.suspects[p].position), Upstream: e.upstream, Age: now.Sub(e.at).Milliseconds(), Quarantined: t.suspects[p].quarantined && len(t.suspects[p].rivals) == 0})
		}
	}
	return marks
}

// merge adds a mark of another process and reports whether it was news. The caller judges anew then.
func (t *partTable) merge(now time.Time, p Fingerprint, m *wire.CrashMark) bool {
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	if m.Survived {
		t.recordSurvival(now, at, p)
		return false
	}
	if !t.survivedAt(p).IsZero() {
		t.notices[p] = now.Add(survivalNotice)
	}
	s := t.suspect(p, int(m.Part))
	if s == nil {
		return false
	}
	isNews := m.Quarantined && !s.adopted && t.survivedAt(p).IsZero()
	s.adopted = s.adopted || isNews
	return t.addCrash(p, s, event{upstream: m.Upstream, at: at}) || isNews
}
