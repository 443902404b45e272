// Package pack compresses the answers of the stand-ins for the platform.
package pack

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
)

const encoding = "gzip"

// EncodeBody returns the body of an answer, compressed and marked so in the header if
// the reader accepts it.
func EncodeBody(h http.Header, r *http.Request, data []byte) []byte {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), encoding) {
		return data
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return data
	}
	if err := z.Close(); err != nil {
		return data
	}
	h.Set("Content-Encoding", encoding)
	return b.Bytes()
}
