// Package reload finds out when the settings file of a process has changed: by SIGHUP,
// and by looking at the file, since it may change without a signal.
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

// interval is the time between two looks at the file.
const interval = time.Second

// Watcher looks after one file.
type Watcher struct {
	file    string
	changed func()
	log     *zap.Logger
	signals chan os.Signal
	last    []byte
}

// Watch calls a function whenever the contents of the file change. The clean-up
// function ends that.
func Watch(file string, log *zap.Logger, changed func()) func() {
	w := &Watcher{file: file, changed: changed, log: log, signals: make(chan os.Signal, 1)}
	w.last, _ = os.ReadFile(file)
	signal.Notify(w.signals, syscall.SIGHUP)
	g := shell.NewGroup()
	g.Go(w.run)
	return func() {
		signal.Stop(w.signals)
		g.Stop()
	}
}

func (w *Watcher) run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-w.signals:
			w.log.Info("reload-signal", zap.String("file", w.file))
			w.look()
		case <-t.C:
			w.look()
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) look() {
	data, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Warn("settings-unread", zap.String("file", w.file), zap.Error(err))
		return
	}
	if bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	w.changed()
}
