// Package reload detects changes of the settings file of a process: on SIGHUP, and by
// polling, because the file may change without a signal.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/shell"
)

// pollInterval is the time between two reads of the file.
const pollInterval = time.Second

// Watcher watches one file.
type Watcher struct {
	file     string
	onChange func()
	log      *zap.Logger
	signals  chan os.Signal
	contents []byte
}

// Watch calls onChange whenever the contents of the file change. The clean-up function
// stops it.
func Watch(file string, log *zap.Logger, onChange func()) func() {
	w := &Watcher{file: file, onChange: onChange, log: log, signals: make(chan os.Signal, 1)}
	w.contents, _ = os.ReadFile(file)
	signal.Notify(w.signals, syscall.SIGHUP)
	g := shell.NewGroup()
	g.Go(w.run)
	return func() {
		signal.Stop(w.signals)
		g.Stop()
	}
}

func (w *Watcher) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-w.signals:
			w.log.Info("reload-requested", zap.String("file", w.file))
			w.check()
		case <-t.C:
			w.check()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) check() {
	data, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Warn("settings-read-failed", zap.String("file", w.file), zap.Error(err))
		return
	}
	if bytes.Equal(data, w.contents) {
		return
	}
	w.contents = data
	w.onChange()
}
