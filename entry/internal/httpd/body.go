package httpd

import (
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/watch"
)

const (
	// unreadBodyTimeout bounds the wait for the rest of a body that isn't read, and maxDiscardedBytes what is
	// discarded of it after the response. net/http discards up to maxUnreadBytes before it.
	unreadBodyTimeout = time.Second
	maxDiscardedBytes = 4 << 20
	maxUnreadBytes    = 256 << 10
)

// requestBody records whether a body was read to its end. If it can't be read the connection ends with the
// response: net/http cancels the context of all later requests of a connection after a read failed, also by
// a deadline.
type requestBody struct {
	io.ReadCloser
	header http.Header
	// conn is the connection of the client, or nil if it isn't known.
	conn *watch.Conn
	// length is the announced length, or negative. Bytes counts what was read.
	length, bytes int64
	// whole is true once the end was read, and failed once the body can't be read.
	whole, failed bool
	// isLong is true while the receive buffer is that of a long body.
	isLong bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	b.whole = b.whole || err == io.EOF
	if err != nil && err != io.EOF {
		b.failed = true
		b.header.Set("Connection", "close")
	}
	b.adaptBuffer()
	return n, err
}

// adaptBuffer sets the receive buffer of the connection.
func (b *requestBody) adaptBuffer() {
	isLong := b.bytes > longBytes && b.length-b.bytes > bodyReceiveBuffer && !b.failed
	if isLong == b.isLong || b.conn == nil {
		return
	}
	b.isLong = isLong
	if isLong {
		b.conn.SetReadBuffer(bodyReceiveBuffer)
	} else {
		b.conn.SetReadBuffer(receiveBuffer)
	}
}

// endBody bounds the wait for the rest of a body that the handler hasn't read. The server reads a short rest
// before it sends the response. Where the connection ends with the response, that is sent first, and the rest is
// discarded: a close with unread data resets the connection, and the client may lose the response. After a whole
// body there must be no deadline, since the server watches for the client to disconnect.
func (s *Server) endBody(w http.ResponseWriter, r *http.Request, b *requestBody) {
	if b.whole {
		return
	}
	control := http.NewResponseController(w)
	err := control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.options.Log.Debug("deadline-set-failed", zap.Error(err))
	}
	if b.failed || w.Header().Get("Connection") != "close" && r.ContentLength <= maxUnreadBytes {
		return
	}
	if s.draining.Load() || r.Header.Get("Expect") != "" {
		// A stop doesn't wait for the rest. A client that expects to be asked for the body doesn't send it.
		return
	}
	if control.Flush() == nil {
		_, _ = io.CopyN(io.Discard, b.ReadCloser, maxDiscardedBytes)
	}
}
