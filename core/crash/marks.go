package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantport.example/core/wire"
)

const (
	// noticeShare and eventShare are the parts of a message, as divisors, that notices of survivals
	// and crashes without a cause may take.
	noticeShare = 4
	eventShare  = 4
	// maxEvidence is the number of crashes of a part in a message.
	maxEvidence = 5
	// survivalNotice is how long other processes are told that a part they suspect was survived.
	survivalNotice = 5 * time.Second
)

// export returns at most the given number of marks, the most useful ones first.
func (t *partTable) export(now time.Time, limit int) []*wire.CrashMark {
	var marks []*wire.CrashMark
	for _, p := range t.newestNotices(limit / noticeShare) {
		marks = append(marks, &wire.CrashMark{Fingerprint: slices.Clone(p[:]), Part: 1, Survived: true, Age: now.Sub(t.survivedAt(p)).Milliseconds()})
	}
	open := slices.DeleteFunc(slices.Clone(t.events), t.isSettled)
	for _, e := range open[max(len(open)-limit/eventShare, 0):] {
		marks = append(marks, &wire.CrashMark{Upstream: e.upstream, Age: now.Sub(e.at).Milliseconds()})
	}
	marks = append(marks, t.evidence(now)...)
	return marks[:min(len(marks), limit)]
}

// notify has other processes be told that upstreams survived a part or a whole request.
func (t *partTable) notify(now time.Time, f Fingerprint) { t.notices[f] = now.Add(survivalNotice) }

// newestNotices returns the parts that other processes suspected last though upstreams survived
// them, at most the given number.
func (t *partTable) newestNotices(limit int) []Fingerprint {
	all := slices.SortedFunc(maps.Keys(t.notices), func(a, b Fingerprint) int {
		return cmp.Or(t.notices[b].Compare(t.notices[a]), slices.Compare(a[:], b[:]))
	})
	return all[:min(len(all), limit)]
}

// evidence returns marks for the verdicts, then for the crashes of the other suspects, then for
// those behind the verdicts.
func (t *partTable) evidence(now time.Time) []*wire.CrashMark {
	var verdicts, suspicions, reasons []*wire.CrashMark
	for _, p := range t.ranked() {
		s := t.suspects[p]
		// Others, who may not have seen that upstreams survive the part, would suspect it.
		if !t.survivedAt(p).IsZero() && !s.quarantined {
			continue
		}
		if s.isConvicted() {
			marks := s.marks(now, p, s.crashes)
			verdicts, reasons = append(verdicts, marks[0]), append(reasons, marks[1:]...)
			continue
		}
		// Without the reasons of the verdict, others would take the part for the cause.
		suspicions = append(suspicions, s.marks(now, p, slices.DeleteFunc(slices.Clone(s.crashes), t.isSettled))...)
	}
	return slices.Concat(verdicts, suspicions, reasons)
}

// isConvicted reports whether each request with the part is refused.
func (s *suspect) isConvicted() bool { return s.quarantined && len(s.rivals) == 0 }

// isSettled reports whether a verdict explains the crash.
func (t *partTable) isSettled(e event) bool {
	return slices.ContainsFunc(t.convicted, func(s *suspect) bool { return s.isConvicted() && slices.ContainsFunc(s.crashes, e.isSame) })
}

// marks returns the marks of the last of the crashes, newest first.
func (s *suspect) marks(now time.Time, p Fingerprint, crashes []event) []*wire.CrashMark {
	var marks []*wire.CrashMark
	for _, e := range slices.Backward(crashes[max(len(crashes)-maxEvidence, 0):]) {
		marks = append(marks, &wire.CrashMark{
			Fingerprint: slices.Clone(p[:]), Part: uint32(s.position), Upstream: e.upstream, Age: now.Sub(e.at).Milliseconds(), Quarantined: s.isConvicted(),
		})
	}
	return marks
}

// merge adds a mark of another process and reports whether it was news. The caller judges anew then.
func (t *partTable) merge(now time.Time, p Fingerprint, m *wire.CrashMark) bool {
	at := now.Add(-time.Duration(m.Age) * time.Millisecond)
	if m.Survived {
		return t.recordSurvival(now, at, p)
	}
	if !t.survivedAt(p).IsZero() {
		t.notify(now, p)
	}
	s := t.suspect(p, int(m.Part))
	isNews := m.Quarantined && !s.adopted && t.survivedAt(p).IsZero()
	s.adopted = s.adopted || isNews
	return t.addCrash(p, s, event{upstream: m.Upstream, at: at}) || isNews
}
