package joint_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"currantport.example/core/trial"
)

// maxWorkAfterClose is how long a service may work on after the client has closed its connection.
const maxWorkAfterClose = 500 * time.Millisecond

// TestRunEndsWhenClientClosesBehindBytesSentAhead sends to an entry over HTTP/1.1.
func TestRunEndsWhenClientClosesBehindBytesSentAhead(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		w := newWorld(t, 1)
		w.warmUp()
		w.runTime, w.canceledAt = 5*time.Second, make(chan time.Time, 1)
		for _, ahead := range []string{"", "\r\n", "POST /v1/routes/draft HTTP/1.1\r\n"} {
			c, err := w.network.Dialer(clientAddr)(t.Context(), "tcp", w.entries[0].host.Address.String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(c, "POST /v1/routes/%s HTTP/1.1\r\nHost: h\r\nWorkspace: meadow\r\nContent-Type: text/plain\r\nRequest-Timeout: 5s\r\nContent-Length: 4\r\n\r\nbody", idempotentRoute)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, ahead)
			time.Sleep(100 * time.Millisecond)
			closedAt := time.Now()
			_ = c.Close()
			select {
			case at := <-w.canceledAt:
				if took := at.Sub(closedAt); took > maxWorkAfterClose {
					t.Errorf("%q ahead: the service worked on for %v", ahead, took)
				}
			case <-time.After(2 * w.runTime):
				t.Errorf("%q ahead: the run wasn't canceled", ahead)
			}
		}
	})
}
