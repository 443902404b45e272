// Package pack compresses the responses of the fakes of the platform.
package pack

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
)

const encoding = "gzip"

// EncodeBody returns the body of a response. If the request accepts gzip, the body
// is compressed and Content-Encoding is set in the header.
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
