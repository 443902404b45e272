package proxy

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/tries"
)

// cause is the timer or event that ended an attempt or a request before its whole response was written,
// for the log.
type cause string

const (
	// causeUpstream means that the upstream ended its response, or the connection, early.
	causeUpstream cause = "upstream"
	// causeConnect means that there was no connection to the upstream, or too late.
	causeConnect cause = "connect"
	// causeDeadline is the deadline of the request.
	causeDeadline cause = "deadline"
	// causeSilence is the time by which the first event must have come.
	causeSilence cause = "silence"
	// causeVersion is the time by which a request to a replaced version must have begun.
	causeVersion cause = "version"
	// causeSuccessor means that another upstream has responded instead of a silent one.
	causeSuccessor cause = "successor"
	causeClient    cause = "client"
	// causeStop is the stop of the entry.
	causeStop  cause = "stop"
	causePanic cause = "panic"
)

// causeAt returns which limit of an attempt ends at a time.
func (l *lifecycle) causeAt(limit time.Time) cause {
	switch {
	case !limit.Before(l.deadline):
		return causeDeadline
	case limit.Equal(l.firstEventLimit()):
		return causeSilence
	}
	return causeVersion
}

// causeOf returns what ended an attempt, or an empty cause if the upstream has responded whole, and records
// it. Outer is the context of the request, request that of the attempt.
func (l *lifecycle) causeOf(outer, request context.Context, wd *watchdog, result tries.Result) cause {
	if !hasCause(result) && l.ending != endingUnwritten {
		if l.cause == causeConnect {
			l.cause = ""
		}
		return ""
	}
	l.cause = l.causeOfContext(outer)
	switch fired := wd.fired(); {
	case request.Err() == nil && l.ending == endingUnwritten:
		l.cause = causeClient
	case request.Err() == nil:
		l.cause = causeOfUpstream(result)
	case fired != "":
		l.cause = fired
	}
	return l.cause
}

// causeOfSuccessor returns the same for an attempt beside another one.
func (l *lifecycle) causeOfSuccessor(s *successor, result tries.Result) cause {
	switch {
	case !hasCause(result):
		return ""
	case s.request.Err() == nil:
		return causeOfUpstream(result)
	case !time.Now().Before(l.deadline):
		return causeDeadline
	case s.watchdog.request.Err() != nil:
		return l.causeOfContext(s.watchdog.request)
	case !s.withinStream && !time.Now().Before(l.firstEventLimit()):
		return causeSilence
	}
	return causeVersion
}

// causeOfContext returns what ended the context of a request.
func (l *lifecycle) causeOfContext(ctx context.Context) cause {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return causeDeadline
	case l.ended.Load():
		return causeStop
	}
	return causeClient
}

func causeOfUpstream(result tries.Result) cause {
	if result == tries.ResultUnsent {
		return causeConnect
	}
	return causeUpstream
}

// hasCause reports whether an attempt ended without what the upstream meant to respond.
func hasCause(result tries.Result) bool {
	return result == tries.ResultUnsent || result == tries.ResultLost || result == tries.ResultTruncated
}

// attemptEnd is how an attempt ended, for the log.
type attemptEnd struct {
	cause cause
	// isSent is false if there was no connection. Remaining is what was left of the timeout when the request
	// was sent, and quiet how long the upstream had sent nothing at the end.
	isSent           bool
	remaining, quiet time.Duration
}

// endOf returns how an attempt ends now.
func (l *lifecycle) endOf(s *successor, result tries.Result, c cause) attemptEnd {
	e := attemptEnd{cause: c, isSent: result != tries.ResultUnsent, remaining: s.attempt.Remaining}
	if s.response != nil {
		e.quiet = time.Since(s.response.LastReadAt())
	} else {
		e.quiet = clocks.Since(s.sentAt)
	}
	return e
}

// fields returns the fields of the log line of an attempt.
func (e attemptEnd) fields() []zap.Field {
	if e.cause == "" {
		return nil
	}
	fields := []zap.Field{zap.String("cause", string(e.cause))}
	if e.isSent {
		fields = append(fields, zap.Duration("remaining", e.remaining), zap.Duration("quiet", e.quiet))
	}
	return fields
}

// causeFields returns the fields of the log line of a request that wasn't answered, and counts it.
func (l *lifecycle) causeFields() []zap.Field {
	if l.cause == "" || l.ending == endingAnswered {
		return nil
	}
	l.handler.metrics.countCause(l.ending, l.cause)
	fields := []zap.Field{zap.String("cause", string(l.cause))}
	if !l.deadline.IsZero() {
		fields = append(fields, zap.Duration("timeout", l.deadline.Sub(l.arrived)))
	}
	if l.conn != nil {
		fields = append(fields, zap.Duration("connage", clocks.Since(l.conn.AcceptedAt())), zap.Int("carried", l.conn.Requests()-1))
	}
	return append(fields, l.activeFields()...)
}

// activeFields tell for how long the rows of the request have been active, and the rows that have replaced
// them since.
func (l *lifecycle) activeFields() []zap.Field {
	fields := []zap.Field{zap.Duration("active", clocks.Since(l.view.Since))}
	if s, since := l.handler.options.Mirror.ActiveSnapshot(); s != l.view.State {
		fields = append(fields, zap.Uint64("latest", s.Revision.Number()), zap.Duration("changed", clocks.Since(since)))
	}
	return fields
}
