package dedup

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
)

// Memory records what one process knows of the requests that it may run. It isn't
// safe for concurrent use.
type Memory struct {
	options Options
	claims  *Claims
	// stamp is the newest stamp.
	stamp Stamp
	// serial is that of the last minted key.
	serial uint64
	// keys holds at most options.MaxKeys keys that have started and as many that
	// are fenced.
	keys map[ScopedKey]*record
	// expiryQueue holds the keys that aren't running, ordered by the time of their
	// last record.
	expiryQueue []queuedKey
	// replayable holds the keys with a recorded response, in the order in which
	// their runs ended.
	replayable []ScopedKey
	// responseBytes is the total size of the recorded responses.
	responseBytes int
	// fencedCount is the number of keys in StateFenced.
	fencedCount int
	// forgottenSerial is the greatest serial of the minted keys that were dropped.
	forgottenSerial uint64
	attempts        attemptLog
}

type record struct {
	state    State
	digest   Digest
	response *Response
	// fence is the stamp of the last report that the key has not run.
	fence Stamp
	// owner is set for StateMoved.
	owner Owner
	// queued is the stamp of the key's newest element in the expiry queue. Older
	// elements are skipped.
	queued Stamp
}

type queuedKey struct {
	key   ScopedKey
	at    time.Time
	stamp Stamp
}

// NewMemory returns an empty memory. The claims decide on opaque keys.
func NewMemory(o Options, claims *Claims) *Memory {
	return &Memory{
		options: o, claims: claims,
		keys: make(map[ScopedKey]*record), attempts: newAttemptLog(o.MaxAttempts),
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
		return m.beginAttempt(a)
	}
	m.expire(now)
	r := m.keys[a.Key]
	if r != nil && r.state != StateFenced {
		return m.decideStarted(r, a)
	}
	if d, ok := m.checkOwner(now, a); !ok {
		return d
	}
	if r != nil && a.Token != m.token(r.fence) {
		return Decision{Refusal: withToken(m.renewFence(r), calls.NotRun(calls.ReasonFenced, 0, "the key was reported as not run before: send the token of that report, or a new key"))}
	}
	if len(m.keys)-m.fencedCount >= m.options.MaxKeys {
		return m.Refuse(now, a, calls.NotRun(calls.ReasonOverload, retryAfter, "the memory for keys is full"))
	}
	if r == nil {
		r = &record{}
		m.keys[a.Key] = r
	} else {
		m.fencedCount--
	}
	r.state, r.digest = StateRunning, a.Digest
	return Decision{Action: ActionStart}
}

// decideStarted decides on an attempt whose key has started.
func (m *Memory) decideStarted(r *record, a Attempt) Decision {
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
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryAfter, "another process remembers the key"), Owner: r.owner}
	case r.response != nil:
		return Decision{Action: ActionReplay, Response: r.response}
	}
	return Decision{Refusal: calls.Unknown(calls.ReasonLost, 0, "a request with this key has run and its answer is lost")}
}

// checkOwner reports whether the process may start the key. If not, the decision
// says why.
func (m *Memory) checkOwner(now time.Time, a Attempt) (Decision, bool) {
	k, minted := ParseMinted(a.Key.Value)
	switch {
	case minted && k.Owner.Host != m.options.Self.Host:
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryAfter, "another host owns the key"), Owner: k.Owner}, false
	case minted && k.Owner != m.options.Self:
		return Decision{Refusal: calls.Unknown(calls.ReasonOwner, 0, "the process that owned the key is gone")}, false
	case minted && k.Serial <= m.forgottenSerial:
		return Decision{Refusal: calls.Unknown(calls.ReasonLost, 0, "the key is older than the memory of its owner")}, false
	case minted:
		return Decision{}, true
	}
	owner, refusal := m.claims.Check(now, a.Key)
	return Decision{Refusal: refusal, Owner: owner}, refusal == nil
}

// Refuse returns the refusal of an attempt that was not started. A refusal as "not
// run" fences the key; its outcome becomes unknown if the process can't prove it.
func (m *Memory) Refuse(now time.Time, a Attempt, refusal *calls.Refusal) Decision {
	if !a.HasKey() || refusal.Outcome != calls.OutcomeNotRun {
		return Decision{Refusal: refusal}
	}
	s := m.Settle(now, a)
	if s.State != StateFenced {
		refusal = calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)
	}
	return Decision{Refusal: withToken(s.Token, refusal), Owner: s.Owner}
}

// withToken returns the refusal with the token of the fence.
func withToken(token Token, refusal *calls.Refusal) *calls.Refusal {
	r := *refusal
	r.Token = token.String()
	return &r
}

// Finish records the end of a request that Begin started. A nil response means that
// the response is lost.
func (m *Memory) Finish(now time.Time, a Attempt, response *Response) {
	if !a.HasKey() {
		m.endAttempt(a.ID, StateRan)
		return
	}
	r := m.keys[a.Key]
	if r == nil || r.state != StateRunning {
		return
	}
	r.state = StateRan
	m.enqueueExpiry(now, a.Key, r)
	m.storeResponse(a.Key, r, response)
}

// RecordNotRun records that the upstream did not run a request that Begin started,
// and returns the decision on its attempt.
func (m *Memory) RecordNotRun(now time.Time, a Attempt, refusal *calls.Refusal) Decision {
	if !a.HasKey() {
		m.endAttempt(a.ID, StateFenced)
		return Decision{Refusal: refusal}
	}
	r := m.keys[a.Key]
	if m.fencedCount >= m.options.MaxKeys {
		r.state = StateRan
		m.enqueueExpiry(now, a.Key, r)
		return Decision{Refusal: calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)}
	}
	return Decision{Refusal: withToken(m.fence(now, a.Key, r), refusal)}
}

// Settle reports what became of an attempt. A request that has not run is fenced
// first.
func (m *Memory) Settle(now time.Time, a Attempt) SettleResult {
	if !a.HasKey() {
		return SettleResult{State: m.settleAttempt(a)}
	}
	m.expire(now)
	r := m.keys[a.Key]
	if r != nil && r.state != StateFenced {
		return SettleResult{State: r.state, Owner: r.owner}
	}
	if d, ok := m.checkOwner(now, a); !ok {
		return SettleResult{State: StateUnknown, Owner: d.Owner}
	}
	if r != nil {
		return SettleResult{State: StateFenced, Token: m.renewFence(r)}
	}
	if m.fencedCount >= m.options.MaxKeys {
		return SettleResult{State: StateUnknown}
	}
	r = &record{}
	m.keys[a.Key] = r
	return SettleResult{State: StateFenced, Token: m.fence(now, a.Key, r)}
}

// fence records a key as not run.
func (m *Memory) fence(now time.Time, key ScopedKey, r *record) Token {
	m.fencedCount++
	r.state = StateFenced
	m.enqueueExpiry(now, key, r)
	r.fence = r.queued
	return m.token(r.fence)
}

// renewFence replaces the token of a fenced key, so that those of earlier reports
// become invalid.
func (m *Memory) renewFence(r *record) Token {
	m.stamp++
	r.fence = m.stamp
	return m.token(r.fence)
}

func (m *Memory) enqueueExpiry(now time.Time, key ScopedKey, r *record) {
	m.stamp++
	r.queued = m.stamp
	m.expiryQueue = append(m.expiryQueue, queuedKey{key: key, at: now, stamp: m.stamp})
}

// HasStarted reports whether the key has started, here or at an earlier owner, and
// its record is kept.
func (m *Memory) HasStarted(key ScopedKey) bool {
	r := m.keys[key]
	return r != nil && r.state != StateFenced
}

// Len returns the number of keys that are recorded.
func (m *Memory) Len() int { return len(m.keys) }

func (m *Memory) storeResponse(key ScopedKey, r *record, response *Response) {
	if response == nil || response.size() > m.options.MaxResponseBytes {
		return
	}
	r.response = response
	m.replayable = append(m.replayable, key)
	m.responseBytes += response.size()
	for m.responseBytes > m.options.MaxResponseBytes {
		m.dropResponse(m.replayable[0])
		m.replayable = m.replayable[1:]
	}
}

// dropResponse drops the response of a key but keeps the record that the key has
// run.
func (m *Memory) dropResponse(key ScopedKey) {
	if r := m.keys[key]; r != nil && r.response != nil {
		m.responseBytes -= r.response.size()
		r.response = nil
	}
}

// expire drops the keys whose lifetime has passed.
func (m *Memory) expire(now time.Time) {
	for len(m.expiryQueue) > 0 && now.Sub(m.expiryQueue[0].at) >= m.options.KeyTTL {
		k := m.expiryQueue[0]
		m.expiryQueue = m.expiryQueue[1:]
		r := m.keys[k.key]
		if r == nil || r.queued != k.stamp || r.state == StateRunning {
			continue
		}
		m.dropResponse(k.key)
		if r.state == StateFenced {
			m.fencedCount--
		}
		if minted, ok := ParseMinted(k.key.Value); ok {
			m.forgottenSerial = max(m.forgottenSerial, minted.Serial)
		}
		delete(m.keys, k.key)
	}
	for len(m.replayable) > 0 && m.keys[m.replayable[0]] == nil {
		m.replayable = m.replayable[1:]
	}
}

// HeldKey is an opaque key that a process has a record of.
type HeldKey struct {
	Key    ScopedKey
	Digest Digest
	// Owner is the process that has the record of the run. It is the zero value if
	// the key is fenced.
	Owner Owner
}

// HeldKeys returns the keys that a claim covers.
func (m *Memory) HeldKeys(k Claim) []HeldKey {
	var all []HeldKey
	for key, r := range m.keys {
		if key.Route != k.Route || OwnerOf(key.Value, k.Row.Hosts).Host != k.Host {
			continue
		}
		h := HeldKey{Key: key, Digest: r.digest, Owner: m.options.Self}
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

// Adopt records the keys of an earlier owner. It reports false, and records none,
// if the keys that it has no such record of yet exceed MaxKeys.
func (m *Memory) Adopt(now time.Time, all []HeldKey) bool {
	m.expire(now)
	started, fenced := m.countNew(all)
	if len(m.keys)-m.fencedCount+started > m.options.MaxKeys || m.fencedCount+fenced > m.options.MaxKeys {
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

// countNew returns by how many the keys would raise the numbers of started and of
// fenced keys. A fenced key that has started elsewhere moves from one to the other.
func (m *Memory) countNew(all []HeldKey) (started, fenced int) {
	for _, h := range all {
		r := m.keys[h.Key]
		switch {
		case r != nil && r.state != StateFenced:
		case h.Owner != Owner{}:
			started++
			if r != nil {
				fenced--
			}
		case r == nil:
			fenced++
		}
	}
	return started, fenced
}

func (m *Memory) adoptStarted(now time.Time, h HeldKey, r *record) {
	if r == nil {
		r = &record{}
		m.keys[h.Key] = r
	} else {
		m.fencedCount--
	}
	r.state, r.digest, r.owner = StateMoved, h.Digest, h.Owner
	m.enqueueExpiry(now, h.Key, r)
}

// ActivateClaim makes the claim on a route active if all listed hosts have granted
// it.
func (m *Memory) ActivateClaim(now time.Time, route string, listed []hosts.Name) {
	m.claims.activate(now, route, listed)
}
