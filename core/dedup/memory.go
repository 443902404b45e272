package dedup

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
)

// Memory is what one process knows of the requests that it may run. It isn't
// safe for concurrent use.
type Memory struct {
	options Options
	claims  *Claims
	// stamp counts the marks.
	stamp Stamp
	// serial counts the minted keys.
	serial uint64
	// keys holds at most options.Marks keys that have started and as many that
	// are fenced.
	keys map[ScopedKey]*record
	// marks orders the keys that aren't running by the time of their last mark.
	marks []mark
	// answers orders the keys with a recorded answer by the time of their end.
	answers []ScopedKey
	// bytes is the size of the recorded answers.
	bytes int
	// fenced is the number of keys that are fenced.
	fenced int
	// passed is the newest serial of a minted key that was forgotten.
	passed uint64
	tries  tries
}

type record struct {
	state  State
	digest Digest
	answer *Response
	// fence is the stamp of the last report that the key has not run.
	fence Stamp
	// owner is set for StateMoved.
	owner Owner
	// marked is the stamp of the last mark.
	marked Stamp
}

type mark struct {
	name  ScopedKey
	at    time.Time
	stamp Stamp
}

// NewMemory returns an empty memory. The claims decide on opaque keys.
func NewMemory(o Options, claims *Claims) *Memory {
	return &Memory{
		options: o, claims: claims,
		keys: make(map[ScopedKey]*record), tries: newTries(o.MaxAttempts),
	}
}

// Self returns the process that the memory belongs to.
func (m *Memory) Self() Owner { return m.options.Self }

// Token returns the newest stamp of the process.
func (m *Memory) Token() Token { return m.token(m.stamp) }

func (m *Memory) token(stamp Stamp) Token {
	return Token{Incarnation: m.options.Self.Incarnation, Stamp: stamp}
}

// Mint returns a new key that the process owns.
func (m *Memory) Mint() calls.Key {
	m.serial++
	return MintedKey{Owner: m.options.Self, Serial: m.serial, Nonce: string(NewIncarnation())}.Key()
}

// Begin decides on an attempt that has arrived.
func (m *Memory) Begin(now time.Time, a Attempt) Decision {
	if !a.HasKey() {
		return m.beginTry(a)
	}
	m.expire(now)
	r := m.keys[a.Key]
	if r != nil && r.state != StateFenced {
		return m.known(r, a)
	}
	if v, ok := m.checkOwner(now, a); !ok {
		return v
	}
	if r != nil && a.Token != m.token(r.fence) {
		return Decision{Refusal: fenced(m.renew(r), calls.NotRun(calls.ReasonFenced, 0, "the key was reported as not run before: send the token of that report, or a new key"))}
	}
	if len(m.keys)-m.fenced >= m.options.MaxKeys {
		return m.Refuse(now, a, calls.NotRun(calls.ReasonOverload, retryWait, "the memory for keys is full"))
	}
	if r == nil {
		r = &record{}
		m.keys[a.Key] = r
	} else {
		m.fenced--
	}
	r.state, r.digest = StateRunning, a.Digest
	return Decision{Action: ActionStart}
}

// known decides on an attempt whose key has started.
func (m *Memory) known(r *record, a Attempt) Decision {
	if r.digest != a.Digest {
		return Decision{Refusal: &calls.Refusal{
			Outcome: calls.OutcomeNotRun, Reason: calls.ReasonKeyReused,
			Detail: "a request with this key and other content came before; this content was not run",
		}}
	}
	switch {
	case r.state == StateRunning:
		return Decision{Action: ActionJoin}
	case r.state == StateMoved:
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryWait, "another process remembers the key"), Owner: r.owner}
	case r.answer != nil:
		return Decision{Action: ActionReplay, Response: r.answer}
	}
	return Decision{Refusal: calls.Unknown(calls.ReasonLost, 0, "a request with this key has run and its answer is lost")}
}

// checkOwner reports whether the process may start the key.
func (m *Memory) checkOwner(now time.Time, a Attempt) (Decision, bool) {
	k, minted := ParseMinted(a.Key.Value)
	switch {
	case minted && k.Owner.Host != m.options.Self.Host:
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryWait, "another host owns the key"), Owner: k.Owner}, false
	case minted && k.Owner != m.options.Self:
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, 0, "the process that owned the key is gone")}, false
	case minted && k.Serial <= m.passed:
		return Decision{Refusal: calls.Unknown(calls.ReasonLost, 0, "the key is older than the memory of its owner")}, false
	case minted:
		return Decision{}, true
	}
	owner, refusal := m.claims.Check(now, a.Key)
	return Decision{Refusal: refusal, Owner: owner}, refusal == nil
}

// Refuse returns the refusal of an attempt that did not start. A refusal as not
// run fences the key; it becomes unknown if the process can't prove it.
func (m *Memory) Refuse(now time.Time, a Attempt, refusal *calls.Refusal) Decision {
	if !a.HasKey() || refusal.Outcome != calls.OutcomeNotRun {
		return Decision{Refusal: refusal}
	}
	s := m.Settle(now, a)
	if s.State != StateFenced {
		refusal = calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)
	}
	return Decision{Refusal: fenced(s.Token, refusal), Owner: s.Owner}
}

// fenced returns the refusal with the token of the fence.
func fenced(token Token, refusal *calls.Refusal) *calls.Refusal {
	r := *refusal
	r.Token = token.String()
	return &r
}

// Finish records the end of a request that Begin started. A nil answer tells
// that the answer is lost.
func (m *Memory) Finish(now time.Time, a Attempt, answer *Response) {
	if !a.HasKey() {
		m.endTry(a.ID, StateRan)
		return
	}
	r := m.keys[a.Key]
	if r == nil || r.state != StateRunning {
		return
	}
	r.state = StateRan
	m.mark(now, a.Key, r)
	m.keep(a.Key, r, answer)
}

// RecordNotRun records that the upstream has not run a request that Begin started, and
// returns the verdict on its attempt.
func (m *Memory) RecordNotRun(now time.Time, a Attempt, refusal *calls.Refusal) Decision {
	if !a.HasKey() {
		m.endTry(a.ID, StateFenced)
		return Decision{Refusal: refusal}
	}
	r := m.keys[a.Key]
	if m.fenced >= m.options.MaxKeys {
		r.state = StateRan
		m.mark(now, a.Key, r)
		return Decision{Refusal: calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)}
	}
	return Decision{Refusal: fenced(m.fence(now, a.Key, r), refusal)}
}

// Settle tells what became of a request. One that has not run is fenced first.
func (m *Memory) Settle(now time.Time, a Attempt) SettleResult {
	if !a.HasKey() {
		return SettleResult{State: m.settleTry(a)}
	}
	m.expire(now)
	r := m.keys[a.Key]
	if r != nil && r.state != StateFenced {
		return SettleResult{State: r.state, Owner: r.owner}
	}
	if v, ok := m.checkOwner(now, a); !ok {
		return SettleResult{State: StateUnknown, Owner: v.Owner}
	}
	if r != nil {
		return SettleResult{State: StateFenced, Token: m.renew(r)}
	}
	if m.fenced >= m.options.MaxKeys {
		return SettleResult{State: StateUnknown}
	}
	r = &record{}
	m.keys[a.Key] = r
	return SettleResult{State: StateFenced, Token: m.fence(now, a.Key, r)}
}

// fence marks a key as not run.
func (m *Memory) fence(now time.Time, name ScopedKey, r *record) Token {
	m.fenced++
	r.state = StateFenced
	m.mark(now, name, r)
	r.fence = r.marked
	return m.token(r.fence)
}

// renew fences a fenced key anew, so that the tokens of earlier reports no
// longer hold.
func (m *Memory) renew(r *record) Token {
	m.stamp++
	r.fence = m.stamp
	return m.token(r.fence)
}

func (m *Memory) mark(now time.Time, name ScopedKey, r *record) {
	m.stamp++
	r.marked = m.stamp
	m.marks = append(m.marks, mark{name: name, at: now, stamp: m.stamp})
}

// HasStarted reports whether the key has started here and its content is remembered.
func (m *Memory) HasStarted(name ScopedKey) bool {
	r := m.keys[name]
	return r != nil && r.state != StateFenced
}

// Len returns the number of keys that are remembered.
func (m *Memory) Len() int { return len(m.keys) }

func (m *Memory) keep(name ScopedKey, r *record, answer *Response) {
	if answer == nil || answer.size() > m.options.MaxResponseBytes {
		return
	}
	r.answer = answer
	m.answers = append(m.answers, name)
	m.bytes += answer.size()
	for m.bytes > m.options.MaxResponseBytes {
		m.drop(m.answers[0])
		m.answers = m.answers[1:]
	}
}

// drop forgets an answer but not that the key has run.
func (m *Memory) drop(name ScopedKey) {
	if r := m.keys[name]; r != nil && r.answer != nil {
		m.bytes -= r.answer.size()
		r.answer = nil
	}
}

// expire forgets the keys whose lifetime has passed.
func (m *Memory) expire(now time.Time) {
	for len(m.marks) > 0 && now.Sub(m.marks[0].at) >= m.options.KeyTTL {
		k := m.marks[0]
		m.marks = m.marks[1:]
		r := m.keys[k.name]
		if r == nil || r.marked != k.stamp || r.state == StateRunning {
			continue
		}
		m.drop(k.name)
		if r.state == StateFenced {
			m.fenced--
		}
		if minted, ok := ParseMinted(k.name.Value); ok {
			m.passed = max(m.passed, minted.Serial)
		}
		delete(m.keys, k.name)
	}
	for len(m.answers) > 0 && m.keys[m.answers[0]] == nil {
		m.answers = m.answers[1:]
	}
}

// HeldKey is an opaque key that a process remembers.
type HeldKey struct {
	Key    ScopedKey
	Digest Digest
	// Owner is the process that remembers that the key has started. It is the
	// zero value if the key is fenced.
	Owner Owner
}

// HeldKeys returns the keys that a claim covers.
func (m *Memory) HeldKeys(k Claim) []HeldKey {
	var all []HeldKey
	for n, r := range m.keys {
		if n.Route != k.Route || OwnerOf(n.Value, k.Row.Hosts).Host != k.Host {
			continue
		}
		h := HeldKey{Key: n, Digest: r.digest, Owner: m.options.Self}
		switch r.state {
		case StateMoved:
			h.Owner = r.owner
		case StateFenced:
			h.Owner = Owner{}
		}
		all = append(all, h)
	}
	return all
}

// Adopt records the keys of an earlier owner. It reports false if there is no
// room for them.
func (m *Memory) Adopt(now time.Time, all []HeldKey) bool {
	m.expire(now)
	if len(m.keys)+len(all) > m.options.MaxKeys {
		return false
	}
	for _, h := range all {
		r := m.keys[h.Key]
		switch {
		case r != nil && r.state != StateFenced:
		case h.Owner == Owner{} && r == nil:
			r = &record{}
			m.keys[h.Key] = r
			m.fence(now, h.Key, r)
		case h.Owner != Owner{}:
			m.adoptStarted(now, h, r)
		}
	}
	return true
}

func (m *Memory) adoptStarted(now time.Time, h HeldKey, r *record) {
	if r == nil {
		r = &record{}
		m.keys[h.Key] = r
	} else {
		m.fenced--
	}
	r.state, r.digest, r.owner = StateMoved, h.Digest, h.Owner
	m.mark(now, h.Key, r)
}

// ActivateClaim makes the claim on a route hold if all listed hosts have answered it.
func (m *Memory) ActivateClaim(now time.Time, route string, listed []hosts.Name) {
	m.claims.hold(now, route, listed)
}
