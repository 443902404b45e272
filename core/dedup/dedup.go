// Package dedup decides whether a request may run at an upstream, so that all
// requests with the same idempotency key run at most once. It does no I/O: time and
// messages are passed in.
//
// # Owners
//
// One process owns a key: the agent beside the upstream that may run it. A minted
// key names its owner, host and incarnation, for good. An opaque key is chosen by
// the client; its owner is the host of the route's pool with the highest rendezvous
// rank, which must first have an active claim on the keys of the route.
//
// An opaque key is scoped by workspace and route. The owner follows from the row of
// the route: the hosts of the pool that the route names. A row changes with either
// of the two tables.
//
// # Memory
//
// Memory holds what the owner knows of each key: running, ran with a recorded
// response, ran with the response lost, moved from an earlier owner, or fenced. It
// is bounded. When a record is dropped, a lower bound rises (a serial, a stamp or
// an age), and whatever lies below it is still refused.
//
// # Fences
//
// A request that was reported as not run must not run later, however late an
// earlier attempt arrives. So a report of "not run" fences the key for good. The
// report carries a token; only an attempt that presents the token was sent after
// the report and may run under the same key.
//
// An attempt without a key is fenced by its ID. The process numbers its records
// with stamps. An attempt carries the last stamp that its entry had received from
// the process, which shows whether the records reach back far enough to prove that
// the attempt has not run.
package dedup

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
)

// Stamp numbers the records of one process. A greater stamp is newer.
type Stamp uint64

// Incarnation is unique to one start of a process.
type Incarnation string

// Owner identifies the process that may run a key.
type Owner struct {
	Host hosts.Name
	// Incarnation is empty if only the host is known.
	Incarnation Incarnation
}

// Digest identifies the content of a request.
type Digest [16]byte

// DigestOf returns the digest of what all requests with the same key have in
// common.
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
	// StateRunning means that the request has started and not ended.
	StateRunning State = "running"
	// StateRan means that the request has run.
	StateRan State = "ran"
	// StateFenced means that the request has not run, and won't run without the
	// token of the fence.
	StateFenced State = "fenced"
	// StateMoved means that another process has the record of the request.
	StateMoved State = "moved"
	// StateUnknown means that the process can't prove anything.
	StateUnknown State = "unknown"
)

// ScopedKey is an idempotency key together with its scope. What it identifies runs
// at most once. The zero value is that of a request without a key.
type ScopedKey struct {
	// Workspace and Route are empty for a minted key, which is unique by itself.
	Workspace string
	Route     string
	Value     calls.Key
}

// ScopedKeyOf returns the scoped key of a request.
func ScopedKeyOf(r calls.Request) ScopedKey {
	if _, minted := ParseMinted(r.Key); minted || r.Key == "" {
		return ScopedKey{Value: r.Key}
	}
	return ScopedKey{Workspace: r.Workspace, Route: r.Route, Value: r.Key}
}

// Attempt is one attempt to run a request.
type Attempt struct {
	ID     calls.ID
	Key    ScopedKey
	Digest Digest
	// Token is the client's token for an attempt with a key. For an attempt without
	// one it is the last token that the entry received from the host.
	Token Token
}

// Token is a stamp and the process that issued it.
type Token struct {
	Incarnation Incarnation
	Stamp       Stamp
}

// String returns the token as text. The zero value gives the empty string.
func (t Token) String() string {
	if t.Incarnation == "" {
		return ""
	}
	return string(t.Incarnation) + "." + strconv.FormatUint(uint64(t.Stamp), 10)
}

// ParseToken parses the text of a token. Any other text gives the zero value, which
// proves nothing.
func ParseToken(text string) Token {
	incarnation, digits, _ := strings.Cut(text, ".")
	stamp, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || incarnation == "" {
		return Token{}
	}
	return Token{Incarnation: Incarnation(incarnation), Stamp: Stamp(stamp)}
}

// SettleResult is what a process reports about an attempt that an entry lost track
// of.
type SettleResult struct {
	State State
	// Owner is set if another process owns the key.
	Owner Owner
	// Token is set for a key in StateFenced.
	Token Token
}

// HasKey reports whether the attempt has a key and so may run at most once.
func (a Attempt) HasKey() bool { return a.Key.Value != "" }

// Response is the recorded response to a request. It is immutable.
type Response struct {
	Version string
	Status  int
	Media   string
	Body    []byte
}

func (r *Response) size() int { return len(r.Body) + responseOverheadBytes }

// Action is what a process does with an attempt.
type Action int

// The actions on an attempt.
const (
	// ActionRefuse ends the attempt with the refusal.
	ActionRefuse Action = iota
	// ActionStart runs the request. Memory.Finish or Memory.RecordNotRun must
	// follow.
	ActionStart
	// ActionReplay returns the recorded response.
	ActionReplay
	// ActionJoin waits for the end of the run in progress.
	ActionJoin
)

// Decision is the action on an attempt and its data.
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
	// MaxResponseBytes bounds the total size of the recorded responses.
	MaxResponseBytes int
	// MaxKeys bounds the keys that are remembered as started and, separately, those
	// that are remembered as fenced.
	MaxKeys int
	// MaxAttempts bounds the remembered attempts without a key that have ended.
	MaxAttempts int
	// KeyTTL is how long a key is remembered after its run.
	KeyTTL time.Duration
}

// DefaultOptions returns the options of an agent.
func DefaultOptions(self Owner) Options {
	return Options{
		Self: self, MaxResponseBytes: defaultMaxResponseBytes, MaxKeys: defaultMaxKeys, MaxAttempts: defaultMaxAttempts,
		KeyTTL: defaultKeyTTL,
	}
}

const (
	defaultMaxResponseBytes = 8 << 20
	defaultMaxKeys          = 32 << 10
	defaultMaxAttempts      = 8 << 10
	defaultKeyTTL           = 2 * time.Hour
	// responseOverheadBytes is added to the body of a recorded response when its
	// size is counted.
	responseOverheadBytes = 256
	retryAfter            = time.Second
)
