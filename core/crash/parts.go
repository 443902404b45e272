package crash

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// thresholds are the numbers of moments of crashes after which a part of a prompt is quarantined.
// The fewer of the crashes that nothing else explains it was present in, the more it takes.
var thresholds = []struct {
	moments int
	// others is how many crashes without the part there may be for each one with it.
	others int
}{{moments: 4, others: 1}, {moments: 5, others: 3}, {moments: 7, others: 7}}

const (
	// minMoments is the lowest of the thresholds.
	minMoments = 4
	// survivedMoments is the number of moments for a part that upstreams survived before, which
	// may crash a new version only, and survivedTimeout how long none has survived it.
	survivedMoments = 5
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
	maxCrashes   = 32
	maxEvents    = 256
	maxSurvivors = 4096
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

// follows reports whether the crash is evidence of its own beside an earlier one.
func (e event) follows(earlier event) bool {
	return e.at.Sub(earlier.at) >= momentGap || !e.sentAt.IsZero() && !e.sentAt.Before(earlier.at)
}

// isSame reports whether two processes speak of the same crash.
func (e event) isSame(o event) bool {
	return e.upstream == o.upstream && e.at.Sub(o.at).Abs() < sameCrash
}

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
	// upstream ever survived it. It holds while the part has crashes that nothing else explains.
	adopted bool
}

// partTable finds the parts of prompts that crash each upstream which writes a response to them.
// It isn't safe for concurrent use.
//
// Requests that run beside a poisonous one are lost with it, so most suspects are innocent. A part
// is quarantined if no upstream survives it and if it was present in enough of the crashes that no
// other quarantined part explains, or if another process has found that. Whatever is learned later,
// such as that an upstream survived the part at another process, decides anew.
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
		s := t.suspect(p, i+1)
		s.losses = append(s.losses[max(len(s.losses)-maxCrashes+1, 0):], e)
	}
}

// suspect returns the state of a part. If there are too many, it replaces the one with the fewest
// crashes.
func (t *partTable) suspect(p Fingerprint, position int) *suspect {
	s := t.suspects[p]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.dropLeastLikely()
		}
		s = &suspect{}
		t.suspects[p] = s
	}
	s.position = max(s.position, position)
	return s
}

// dropLeastLikely forgets the suspect with the fewest crashes.
func (t *partTable) dropLeastLikely() {
	var least Fingerprint
	fewest := -1
	for p, s := range t.suspects {
		if fewest < 0 || len(s.crashes) < fewest {
			least, fewest = p, len(s.crashes)
		}
	}
	delete(t.suspects, least)
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
	if !e.at.After(t.survivedAt(p)) || slices.ContainsFunc(s.crashes, e.isSame) {
		return false
	}
	s.crashes = append(s.crashes[max(len(s.crashes)-maxCrashes+1, 0):], e)
	t.addEvent(e)
	return true
}

// addEvent adds a crash that is to be explained.
func (t *partTable) addEvent(e event) {
	if !slices.ContainsFunc(t.events, e.isSame) {
		t.events = append(t.events[max(len(t.events)-maxEvents+1, 0):], e)
	}
}

// recordSurvival records that an upstream survived the part of a prompt, and reports whether the
// part was suspected. The caller judges anew then.
func (t *partTable) recordSurvival(now, at time.Time, p Fingerprint) bool {
	if !at.After(t.survivedAt(p)) {
		return false
	}
	if len(t.survivors) >= maxSurvivors {
		t.survivors, t.former = make(map[Fingerprint]time.Time), t.survivors
	}
	t.survivors[p] = at
	s := t.suspects[p]
	if s == nil {
		return false
	}
	suspected := len(s.crashes) > 0
	s.adopted = false
	earlier := func(e event) bool { return !e.at.After(at) }
	s.losses, s.crashes = slices.DeleteFunc(s.losses, earlier), slices.DeleteFunc(s.crashes, earlier)
	if suspected {
		t.notify(now, p)
	}
	if len(s.losses)+len(s.crashes) == 0 {
		delete(t.suspects, p)
	}
	return suspected
}

// judge decides anew which parts are quarantined.
func (t *partTable) judge(now time.Time) {
	ranked := t.ranked()
	before := make(map[Fingerprint]suspect, len(ranked))
	for p, s := range t.suspects {
		before[p] = *s
		s.quarantined, s.rivals = false, nil
	}
	t.convicted = t.convicted[:0]
	// What a convicted part explains no longer counts against those after it in the order.
	for _, p := range ranked {
		if left := t.unexplained(p); t.convicts(now, p, left) {
			t.convict(p, t.rivalsOf(p, left, ranked))
		}
	}
	for _, p := range ranked {
		if s := t.suspects[p]; s.adopted && !s.quarantined && len(t.unexplained(p)) > 0 {
			t.convict(p, nil)
		}
	}
	for p, s := range t.suspects {
		if s.quarantined != before[p].quarantined || len(s.rivals) != len(before[p].rivals) {
			t.log.Warn("prompt-part-quarantined", zap.String("part", hex.EncodeToString(p[:])), zap.Bool("quarantined", s.quarantined),
				zap.Int("rivals", len(s.rivals)), zap.Bool("adopted", s.adopted), zap.Int("crashes", len(s.crashes)),
				zap.Int("of", len(t.events)), zap.Time("survived", t.survivedAt(p)))
		}
	}
}

// convict quarantines a part.
func (t *partTable) convict(p Fingerprint, rivals []Fingerprint) {
	s := t.suspects[p]
	s.quarantined, s.rivals = true, rivals
	t.convicted = append(t.convicted, s)
}

// unexplained returns the crashes of a part that no quarantined one explains.
func (t *partTable) unexplained(p Fingerprint) []event {
	return slices.DeleteFunc(slices.Clone(t.suspects[p].crashes), t.isExplained)
}

// rivalsOf returns the other parts that may have caused the crashes of a part.
func (t *partTable) rivalsOf(p Fingerprint, crashes []event, ranked []Fingerprint) []Fingerprint {
	var rivals []Fingerprint
	if !t.survivedAt(p).IsZero() {
		return nil
	}
	for _, r := range ranked {
		shared := func(e event) bool { return slices.ContainsFunc(t.suspects[r].crashes, e.isSame) }
		if r != p && t.survivedAt(r).IsZero() && count(crashes, shared) == len(crashes) {
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
		return cmp.Or(
			cmp.Compare(boolRank(t.survivedAt(x).IsZero()), boolRank(t.survivedAt(y).IsZero())),
			cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.position, a.position), slices.Compare(x[:], y[:]),
		)
	})
	return all
}

// boolRank orders true before false.
func boolRank(isFirst bool) int {
	if isFirst {
		return 0
	}
	return 1
}

// convicts reports whether crashes that nothing else explains suffice to quarantine a part.
func (t *partTable) convicts(now time.Time, p Fingerprint, crashes []event) bool {
	survivedAt := t.survivedAt(p)
	if len(crashes) < minMoments || !survivedAt.IsZero() && now.Sub(survivedAt) < survivedTimeout {
		return false
	}
	slices.SortFunc(crashes, func(a, b event) int { return a.at.Compare(b.at) })
	others := slices.DeleteFunc(slices.Clone(t.events), func(e event) bool {
		return e.at.Before(crashes[0].at.Add(-momentGap)) || slices.ContainsFunc(crashes, e.isSame) || t.isExplained(e)
	})
	moments := countMoments(crashes, others)
	if !survivedAt.IsZero() && moments < survivedMoments {
		return false
	}
	for _, c := range thresholds {
		if moments >= c.moments && len(others) <= c.others*len(crashes) {
			return true
		}
	}
	return false
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
	return slices.ContainsFunc(t.convicted, func(s *suspect) bool { return slices.ContainsFunc(s.crashes, e.isSame) })
}

func (t *partTable) isQuarantined(parts []Fingerprint) bool {
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil || !s.quarantined {
			continue
		}
		isPresent := func(r Fingerprint) bool { return slices.Contains(parts, r) }
		if len(s.rivals) == 0 || slices.ContainsFunc(s.rivals, isPresent) {
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
