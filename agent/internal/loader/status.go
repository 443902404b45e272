package loader

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
	"currantport.example/core/state"
)

// pollStatus reads the status of the engine and reports whether that succeeded.
func (l *Loader) pollStatus(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := clocks.Now()
	s, err := l.options.Engine.Status(ctx)
	lost := l.statusAt.IsZero() || clocks.Since(l.statusAt) > callTimeout
	if err != nil {
		if !lost && ctx.Err() == nil {
			l.options.Log.Debug("engine-status-failed", zap.Error(err))
		}
		return false
	}
	if lost {
		l.options.Log.Info("engine-connected", zap.Time("started", s.Started), zap.String("held", heldText(s.Held)))
	}
	if !s.Started.Equal(l.status.Started) && !l.statusAt.IsZero() {
		l.options.Log.Warn("engine-restarted", zap.Time("started", s.Started), zap.Time("before", l.status.Started))
		l.orderedAt = time.Time{}
		l.stager.reset()
	}
	if held, before := heldText(s.Held), heldText(l.status.Held); held != before && !l.statusAt.IsZero() {
		l.options.Log.Info("engine-version", zap.String("held", held), zap.String("before", before), zap.Uint64("count", s.OrderCount))
	}
	if s.Leaving && !l.status.Leaving {
		l.options.Log.Info("engine-leaving", zap.Time("started", s.Started), zap.Int("active", s.Active))
		l.options.Notify()
	}
	l.settleOrder(s)
	l.trackLoad(s)
	l.publishStatus(s, askedAt)
	return true
}

// publishStatus makes a status the one that is reported, closed if the engine may not get requests any more.
func (l *Loader) publishStatus(s engine.Status, askedAt time.Time) {
	l.mutex.Lock()
	l.status, l.statusAt = s, askedAt
	isClosed := !l.closing && !l.isServable()
	l.closing = l.closing || isClosed
	l.isSilent = l.isInheriting() && !l.closing
	l.mutex.Unlock()
	if isClosed {
		l.logClosing()
	}
}

// setClosing sets whether entries send no requests. An engine that isn't servable gets none in any case.
func (l *Loader) setClosing(closing bool) {
	closing = closing || !l.isServable()
	l.mutex.Lock()
	changed := l.closing != closing
	l.closing, l.isSilent = closing, l.isInheriting() && !closing
	l.mutex.Unlock()
	if changed {
		l.logClosing()
	}
}

// logClosing logs a change of whether the engine gets requests, and reports it to entries.
func (l *Loader) logClosing() {
	l.options.Log.Info("engine-closing", zap.Bool("closing", l.closing))
	l.options.Notify()
}

// setSilent updates whether the agent sends no reports.
func (l *Loader) setSilent() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isSilent = l.isInheriting() && !l.closing
}

// heldText returns the versions that an engine serves as comma-separated MODEL:VERSION.
func heldText(held []state.HeldVersion) string {
	var text []string
	for _, h := range held {
		text = append(text, h.Model+":"+strconv.Itoa(h.Version))
	}
	return strings.Join(text, ",")
}
