package calls

import (
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of the client interface.
const (
	HeaderID        = "Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderToken     = "Retry-Token"
	HeaderWorkspace = "Workspace"
	HeaderPriority  = "Priority"
	HeaderTimeout   = "Request-Timeout"
	HeaderOutcome   = "Request-Outcome"
	HeaderVersion   = "Model-Version"
)

const (
	maxIDLength        = 64
	maxKeyLength       = 128
	maxTokenLength     = 64
	maxWorkspaceLength = 64
	defaultUrgency     = 3
	lowestUrgency      = 7
	maxTimeout         = time.Hour
	mediaEvents        = "text/event-stream"
)

// HeaderError reports a header that can't be parsed.
type HeaderError struct {
	Header string
	Reason string
}

// Error implements error.
func (e *HeaderError) Error() string { return "header " + e.Header + ": " + e.Reason }

// Head holds the parsed headers of a client's request.
type Head struct {
	// ID is empty if the client gave none.
	ID        ID
	Workspace string
	Key       Key
	// Token is empty if the client gave none.
	Token string
	// Timeout is zero if the client gave none.
	Timeout  time.Duration
	Priority int
	Stream   bool
	Media    string
}

// ReadHead parses the headers of a client's request. The error is a HeaderError.
func ReadHead(h http.Header) (Head, error) {
	head := Head{ID: ID(h.Get(HeaderID)), Workspace: h.Get(HeaderWorkspace), Media: h.Get("Content-Type")}
	head.Stream = strings.Contains(h.Get("Accept"), mediaEvents)
	if !isToken(string(head.ID), maxIDLength) && head.ID != "" {
		return Head{}, &HeaderError{Header: HeaderID, Reason: "must be 1 to 64 visible ASCII characters"}
	}
	if !isToken(head.Workspace, maxWorkspaceLength) {
		return Head{}, &HeaderError{Header: HeaderWorkspace, Reason: "must be 1 to 64 visible ASCII characters"}
	}
	if err := head.readKey(h); err != nil {
		return Head{}, err
	}
	head.Token = h.Get(HeaderToken)
	if !isToken(head.Token, maxTokenLength) && head.Token != "" {
		return Head{}, &HeaderError{Header: HeaderToken, Reason: "must be 1 to 64 visible ASCII characters"}
	}
	if err := head.readPriority(h); err != nil {
		return Head{}, err
	}
	return head, head.readTimeout(h)
}

func (d *Head) readKey(h http.Header) error {
	values := h.Values(HeaderKey)
	if len(values) == 0 {
		return nil
	}
	key := strings.Trim(values[0], `"`)
	if len(values) > 1 || !isToken(key, maxKeyLength) {
		return &HeaderError{Header: HeaderKey, Reason: "must be one key of 1 to 128 visible ASCII characters"}
	}
	d.Key = Key(key)
	return nil
}

// readPriority parses the urgency of RFC 9218: u=0 goes first, u=7 last.
func (d *Head) readPriority(h http.Header) error {
	urgency := defaultUrgency
	if text := h.Get(HeaderPriority); text != "" {
		digits, ok := strings.CutPrefix(strings.TrimSpace(text), "u=")
		u, err := strconv.Atoi(digits)
		if !ok || err != nil || u < 0 || u > lowestUrgency {
			return &HeaderError{Header: HeaderPriority, Reason: "must be u=0 to u=7"}
		}
		urgency = u
	}
	d.Priority = lowestUrgency - urgency
	return nil
}

func (d *Head) readTimeout(h http.Header) error {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	t, err := time.ParseDuration(text)
	if err != nil || t <= 0 || t > maxTimeout {
		return &HeaderError{Header: HeaderTimeout, Reason: "must be a duration above 0 and up to 1h, such as 2s"}
	}
	d.Timeout = t
	return nil
}

// IsSupportedMedia reports whether a request body may have the content type.
func IsSupportedMedia(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && (media == "application/json" || strings.HasPrefix(media, "text/"))
}

func isToken(text string, maxLength int) bool {
	if text == "" || len(text) > maxLength {
		return false
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}
