// Package dedup decides whether a request may run at an upstream, so that all
// requests with the same idempotency key run at most once. It does no I/O: time
// and messages are passed in.
//
// # Owners
//
// One process owns a key: the agent beside the upstream that may run it. A
// minted key names its owner, host and incarnation, for good. An opaque key is
// the caller's own; its owner is the host of the route's pool with the highest
// rendezvous score, which must first hold a claim on the keys of the route.
//
// An opaque key is scoped by workspace and route. The owner follows from the
// row of the route: the hosts of the pool that the route names. A row changes
// with either table.
//
// # Memory
//
// Memory holds what the owner knows of each key: running, ran with a recorded
// answer, ran with the answer lost, moved from an earlier owner, or fenced. It
// is bounded. Forgetting a mark raises a floor, so that whatever the mark stood
// against is still refused.
//
// # Fences
//
// A request that was reported as not run must not run later, however late an
// earlier sending of it arrives. So a report of "not run" fences the key for
// good. It carries a token; only a sending that shows the token is younger than
// the report and may run under the same key.
//
// An attempt without a key is fenced by its id. The process counts its marks by
// stamps; an attempt carries the stamp that the entry had heard of before, which
// shows whether the memory reaches back far enough to prove anything.
package dedup

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
)

// Stamp counts the marks of one process. A greater one is newer.
type Stamp uint64

// Incarnation is unique to the run of a process.
type Incarnation string

// Owner names the process that may run a key.
type Owner struct {
	Host hosts.Name
	// Incarnation is empty if only the host is known.
	Incarnation Incarnation
}

// Digest identifies the content of a request.
type Digest [16]byte

// DigestOf returns the digest of what all requests with the same key share.
func DigestOf(workspace, route, media string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{workspace, route, media} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// State is what an owner knows of a request.
type State string

// The states of a request at its owner.
const (
	// StateRunning tells that the request has started and not ended.
	StateRunning State = "running"
	// StateRan tells that the request has run.
	StateRan State = "ran"
	// StateFenced tells that the request has not run, and won't without the
	// token of the fence.
	StateFenced State = "fenced"
	// StateMoved tells that another process knows the request.
	StateMoved State = "moved"
	// StateUnknown tells that the process can't prove anything.
	StateUnknown State = "unknown"
)

// ScopedKey identifies what may run once only. The zero value names nothing.
type ScopedKey struct {
	// Workspace and Route are empty for a minted key, which is unique.
	Workspace string
	Route     string
	Value     calls.Key
}

// ScopedKeyOf returns the name of a request.
func ScopedKeyOf(r calls.Request) ScopedKey {
	if _, minted := ParseMinted(r.Key); minted || r.Key == "" {
		return ScopedKey{Value: r.Key}
	}
	return ScopedKey{Workspace: r.Workspace, Route: r.Route, Value: r.Key}
}

// Attempt is one try to run a request.
type Attempt struct {
	ID     calls.ID
	Key    ScopedKey
	Digest Digest
	// Token is, for an attempt with a key, that of the caller, and for one
	// without a key the last that the entry has heard from the host.
	Token Token
}

// Token is a stamp of a process.
type Token struct {
	Incarnation Incarnation
	Stamp       Stamp
}

// String returns the token as text. The zero value is empty.
func (t Token) String() string {
	if t.Incarnation == "" {
		return ""
	}
	return string(t.Incarnation) + "." + strconv.FormatUint(uint64(t.Stamp), 10)
}

// ParseToken reads a token. Any other text is the zero value, which shows
// nothing.
func ParseToken(text string) Token {
	incarnation, digits, _ := strings.Cut(text, ".")
	stamp, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || incarnation == "" {
		return Token{}
	}
	return Token{Incarnation: Incarnation(incarnation), Stamp: Stamp(stamp)}
}

// SettleResult is what a process says became of a request.
type SettleResult struct {
	State State
	// Owner is set if another process owns the key.
	Owner Owner
	// Token is set for the StateFenced of a key.
	Token Token
}

// HasKey reports whether the attempt may run once only.
func (a Attempt) HasKey() bool { return a.Key.Value != "" }

// Response is the recorded answer of a request. It never changes.
type Response struct {
	Version string
	Status  int
	Media   string
	Body    []byte
}

func (a *Response) size() int { return len(a.Body) + answerOverhead }

// Action is what a process does with an attempt.
type Action int

// The actions on an attempt.
const (
	// ActionRefuse ends the attempt with the refusal.
	ActionRefuse Action = iota
	// ActionStart runs the request. Finish must follow.
	ActionStart
	// ActionReplay gives the recorded answer.
	ActionReplay
	// ActionJoin waits for the end of the run in progress.
	ActionJoin
)

// Decision is the decision on an attempt.
type Decision struct {
	Action Action
	// Response is set for ActionReplay.
	Response *Response
	// Refusal is set for ActionRefuse.
	Refusal *calls.Refusal
	// Owner is set if another process owns the key.
	Owner Owner
}

// Options bound a Memory.
type Options struct {
	Self Owner
	// MaxResponseBytes bounds the recorded answers.
	MaxResponseBytes int
	// MaxKeys bounds the keys that are remembered as started, and those that are
	// remembered as fenced.
	MaxKeys int
	// MaxAttempts bounds the attempts without a key that are remembered.
	MaxAttempts int
	// KeyTTL is how long a key is remembered after its run.
	KeyTTL time.Duration
}

// DefaultOptions returns the bounds of an agent.
func DefaultOptions(self Owner) Options {
	return Options{
		Self: self, MaxResponseBytes: defaultAnswerBytes, MaxKeys: defaultMarks, MaxAttempts: defaultAttempts,
		KeyTTL: defaultLifetime,
	}
}

const (
	defaultAnswerBytes = 8 << 20
	defaultMarks       = 32 << 10
	defaultAttempts    = 8 << 10
	defaultLifetime    = 2 * time.Hour
	// answerOverhead is in bytes.
	answerOverhead = 256
	retryWait      = time.Second
)
