package logs_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/logs"
)

// stalledWriter is a writer that blocks until it is released, like a pipe without a
// reader.
type stalledWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

// TestStalledWriterDoesNotBlockLogging logs far more than fits into the queue while the
// writer blocks. Logging takes no time, failures are kept in preference to successes,
// and dropped lines are counted.
func TestStalledWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalledWriter{release: make(chan struct{})}
		l, flush, err := logs.New(s, logs.LevelInfo)
		if err != nil {
			t.Fatal(err)
		}
		l.Info("first")
		time.Sleep(time.Second)
		began := time.Now()
		const lines = 20000
		for range lines {
			l.Info("request", zap.String("ending", "answered"))
		}
		for range 10 {
			l.Warn("request", zap.String("ending", "unknown"))
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("logging blocked for %v", took)
		}
		close(s.release)
		time.Sleep(time.Second)
		flush()
		text := s.text.String()
		good := strings.Count(text, "ending=answered")
		if bad := strings.Count(text, "ending=unknown"); bad != 10 || good == 0 || good >= lines || !strings.Contains(text, "event=lines-dropped count=") {
			t.Errorf("%d of 10 failures, %d of %d successes, drops reported: %t", bad, good, lines, strings.Contains(text, "lines-dropped"))
		}
	})
}
