package dedup

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
)

const (
	mintedPrefix = "m1"
	mintedParts  = 5
	separator    = ":"
)

// NewIncarnation returns a random incarnation, for a process that starts.
func NewIncarnation() Incarnation {
	text := strings.ReplaceAll(uuid.NewString(), "-", "")
	return Incarnation(text[:16])
}

// MintedKey holds the parts of a minted key.
type MintedKey struct {
	Owner Owner
	// Serial numbers the keys of the owner from one.
	Serial uint64
	// Nonce keeps clients from guessing each other's keys.
	Nonce string
}

// Key returns the key as text.
func (m MintedKey) Key() calls.Key {
	parts := []string{mintedPrefix, string(m.Owner.Host), string(m.Owner.Incarnation), strconv.FormatUint(m.Serial, 36), m.Nonce}
	return calls.Key(strings.Join(parts, separator))
}

// ParseMinted parses a minted key. It reports false for any other key, which is
// opaque.
func ParseMinted(key calls.Key) (MintedKey, bool) {
	parts := strings.Split(string(key), separator)
	if len(parts) != mintedParts || parts[0] != mintedPrefix || parts[1] == "" || parts[2] == "" {
		return MintedKey{}, false
	}
	serial, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return MintedKey{}, false
	}
	m := MintedKey{Owner: Owner{Host: hosts.Name(parts[1]), Incarnation: Incarnation(parts[2])}, Serial: serial, Nonce: parts[4]}
	return m, m.Key() == key
}

// TimestampOf returns the creation time that a key in the form of a UUIDv7
// contains. It reports false for any other key.
func TimestampOf(key calls.Key) (time.Time, bool) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 || len(key) != len(uuid.Nil.String()) {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// OwnerOf returns the owner of a key among the hosts of the pool row, which must
// not be empty.
func OwnerOf(key calls.Key, row []hosts.Name) Owner {
	if m, ok := ParseMinted(key); ok {
		return m.Owner
	}
	return Owner{Host: hosts.Rank(string(key), row)[0]}
}
