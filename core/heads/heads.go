// Package heads checks the heads of responses for faults that net/http lets pass: a status that is none, and fields
// whose names or values hold bytes that don't belong there. A sender in trouble may write such a head, and what stands
// in it can't be trusted, neither its fields nor the framing of the body.
package heads

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is returned for a head that is no response.
var ErrMalformed = errors.New("malformed response")

// minStatus is the lowest status that HTTP has.
const minStatus = 100

// Check checks the status and the fields of a head.
func Check(status int, h http.Header) error {
	if status < minStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return CheckFields(h)
}

// CheckFields checks the fields of a head or of a trailer.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if name == "" || strings.ContainsFunc(name, isNoToken) {
			return fmt.Errorf("%w: field %q", ErrMalformed, name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return fmt.Errorf("%w: value of field %q", ErrMalformed, name)
			}
		}
	}
	return nil
}

// isNoToken reports whether a character may not be part of the name of a field (RFC 9110, 5.6.2).
func isNoToken(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// isControl reports whether a character may not be part of the value of a field (RFC 9110, 5.5).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
