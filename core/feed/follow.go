package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
	"currantport.example/core/state"
)

const (
	// LongPollTimeout is how long a source may hold a pull. The platform is heard of at least that
	// often, and the age of a proof stays below about twice this time.
	LongPollTimeout = 800 * time.Millisecond
	// ContactTimeout is the time without an answer of the platform from which on a source
	// lags, and a process looks for another one. It is longer than Wait, so that it
	// passes only if an answer is missing, and short enough for the rest of the time
	// in which a configuration must be in force.
	ContactTimeout = 1100 * time.Millisecond
	// callSlack is how much longer than its wait a pull may take.
	callSlack = 800 * time.Millisecond
	// batchPause lets changes that come together arrive as one update.
	batchPause = 40 * time.Millisecond
	// idlePause is the wait before an empty list of sources is looked at again.
	idlePause = 100 * time.Millisecond
)

// FollowOptions are the parts of a follower.
type FollowOptions struct {
	Identity Identity
	Mirror   *Mirror
	// Entries returns the live entries.
	Entries func() []hosts.Host
	// Source returns how to pull from a process, or from the platform for Direct.
	Source func(name hosts.Name) (Source, bool)
	// FallbackTimeout is the time without contact from which on a process that doesn't
	// lead reads the platform.
	FallbackTimeout time.Duration
	Log             *zap.Logger
}

// Follower keeps the mirror of a process up to date.
type Follower struct {
	options FollowOptions
	chooser SourceSelector
	// current is the source of the last update, or empty.
	current hosts.Name
	// all tells that the next pull asks for all rows.
	all   bool
	began time.Time
}

// NewFollower starts to follow. The clean-up function ends it.
func NewFollower(o FollowOptions) (*Follower, func()) {
	f := &Follower{options: o, began: clocks.Now()}
	g := shell.NewGroup()
	g.Go(f.run)
	return f, g.Stop
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		name, wait := f.chooser.Next(clocks.Now(), f.order())
		if name == "" {
			wait = idlePause
		}
		if wait > 0 {
			clocks.Sleep(ctx, min(wait, idlePause))
			continue
		}
		if f.pull(ctx, name) {
			clocks.Sleep(ctx, batchPause)
		}
	}
}

// order returns the sources that may be pulled from now. A process that has lost
// contact turns to the platform itself first, since it can't tell which others have
// lost it too.
func (f *Follower) order() []hosts.Name {
	order := f.options.Identity.SourceOrder(f.options.Entries())
	if order[0] == PlatformSource && f.options.Identity.Role == hosts.RoleEntry {
		return order
	}
	order = slices.DeleteFunc(order, func(n hosts.Name) bool { return n == PlatformSource })
	if f.contactAge() > f.options.FallbackTimeout {
		return append([]hosts.Name{PlatformSource}, order...)
	}
	return order
}

// contactAge returns the time since the platform was last heard of.
func (f *Follower) contactAge() time.Duration {
	at := f.options.Mirror.LastContact()
	if at.Before(f.began) {
		at = f.began
	}
	return clocks.Since(at)
}

// pull takes one update and reports whether it changed rows.
func (f *Follower) pull(ctx context.Context, name hosts.Name) bool {
	source, ok := f.options.Source(name)
	if !ok {
		f.chooser.RecordFailure(clocks.Now(), name, rand.Float64())
		return false
	}
	after := f.options.Mirror.Head()
	if f.all {
		after = 0
	}
	pulling, cancel := context.WithTimeout(ctx, LongPollTimeout+callSlack)
	defer cancel()
	u, err := source.Pull(pulling, after, LongPollTimeout)
	if err != nil {
		f.fail(ctx, name, err)
		return false
	}
	change, err := f.options.Mirror.Apply(u)
	f.report(name, u, change)
	f.all = errors.Is(err, ErrDiverged)
	if f.all {
		f.options.Log.Warn("feed-diverged", zap.String("source", string(name)), zap.Uint64("head", uint64(u.Head)))
		return false
	}
	f.settle(name, u)
	return change.Rows > 0
}

func (f *Follower) fail(ctx context.Context, name hosts.Name, err error) {
	if ctx.Err() != nil {
		return
	}
	f.chooser.RecordFailure(clocks.Now(), name, rand.Float64())
	if f.current == name {
		f.current = ""
		age, _ := f.options.Mirror.Staleness()
		f.options.Log.Warn("feed-lost", zap.String("source", string(name)), zap.Duration("age", age), zap.Error(err))
	}
}

// settle notes how good the source is.
func (f *Follower) settle(name hosts.Name, u Update) {
	now := clocks.Now()
	if now.Sub(u.LastContact) > ContactTimeout || u.Head < f.options.Mirror.Head() {
		f.chooser.RecordStale(now, name)
		return
	}
	f.chooser.RecordSuccess(name)
	if f.current != name {
		f.current = name
		f.options.Log.Info("feed-source", zap.String("source", string(name)), zap.Uint64("head", uint64(u.Head)),
			zap.Duration("age", now.Sub(u.ConfirmedAt)))
	}
}

func (f *Follower) report(name hosts.Name, u Update, c Change) {
	for _, fault := range c.RowErrors {
		f.options.Log.Warn("row-refused", zap.String("row", fault.Key), zap.Uint64("revision", uint64(fault.Revision)),
			zap.String("fault", fault.Reason))
	}
	if c.Rows == 0 {
		return
	}
	f.options.Log.Info("rows-in-force", zap.String("source", string(name)), zap.Uint64("from", uint64(c.From)),
		zap.Uint64("to", uint64(c.To)), zap.Int("rows", c.Rows), zap.Strings("keys", someKeys(u.Rows)),
		zap.Duration("age", clocks.Since(u.ConfirmedAt)))
}

// loggedKeys bounds the keys in one log line.
const loggedKeys = 6

func someKeys(rows []state.Row) []string {
	var keys []string
	for _, r := range rows[:min(len(rows), loggedKeys)] {
		keys = append(keys, r.Key)
	}
	return keys
}
