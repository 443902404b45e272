package loader

import (
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
)

// validationTimeout is the time after which the validation of a load is given up for a newer version.
const validationTimeout = 5 * time.Second

// load is the last load that the engine has accepted since the agent watches it. The engine gets no
// requests until it is known to be valid.
type load struct {
	// target is the version. For an order of another agent it is zero until the engine serves it.
	target targetVersion
	// count is the order count of the engine since it accepted the load.
	count uint64
	// acceptedBy is the time by which it had accepted it.
	acceptedBy time.Time
	validity   validity
}

// sentOrder is the last order that was sent.
type sentOrder struct {
	target   targetVersion
	expected uint64
}

// trackLoad notices from a new status that the engine has accepted a load.
func (l *Loader) trackLoad(s engine.Status) {
	isFirst, count, seenAt := l.statusAt.IsZero(), l.status.OrderCount, l.statusAt
	if !isFirst && !s.Started.Equal(l.status.Started) {
		l.load, count = nil, 0
	}
	isNew := s.OrderCount != count
	if isFirst {
		isNew = s.Busy
	}
	if !isNew || l.load != nil && l.load.count == s.OrderCount {
		return
	}
	if l.sent.target.version != 0 && s.OrderCount == l.sent.expected+1 {
		l.recordLoad(l.sent.target, s.OrderCount, clocks.Now())
		return
	}
	l.load = &load{count: s.OrderCount, acceptedBy: clocks.Now(), validity: validityPending}
	if !l.stager.sealForeign(seenAt, l.load.acceptedBy) {
		l.load.validity = validityUnknown
	}
	l.options.Log.Warn("order-unknown", zap.Uint64("count", s.OrderCount), zap.Uint64("before", count), zap.Bool("busy", s.Busy),
		zap.String("validity", string(l.load.validity)))
}

// recordLoad records that the engine has accepted an order of this agent by a time.
func (l *Loader) recordLoad(t targetVersion, count uint64, acceptedBy time.Time) {
	l.load = &load{target: t, count: count, acceptedBy: acceptedBy, validity: validityPending}
	l.stager.seal(t, acceptedBy)
	l.updateValidity()
}

// updateValidity takes over what the stager has found out about the last load.
func (l *Loader) updateValidity() {
	if l.load == nil || l.load.validity != validityPending {
		return
	}
	if l.load.target.version == 0 && !l.findForeignTarget() {
		return
	}
	v, corrupt := l.stager.loadValidity(l.load.target)
	if v == validityPending {
		return
	}
	l.endValidation(v)
	log := l.options.Log.Info
	if v != validityValid {
		log = l.options.Log.Warn
	}
	log("load-checked", zap.Int("version", l.load.target.version), zap.Uint64("count", l.load.count), zap.String("validity", string(v)),
		zap.Duration("corrupt", corrupt), zap.Duration("took", clocks.Since(l.load.acceptedBy)))
}

// findForeignTarget determines the version of a load that another agent has ordered, once the engine
// serves it.
func (l *Loader) findForeignTarget() bool {
	if l.status.Busy || len(l.status.Held) == 0 {
		return false
	}
	held := l.status.Held[0]
	l.load.target = targetVersion{model: held.Model, version: held.Version}
	l.stager.retarget(l.load.target)
	return true
}

func (l *Loader) endValidation(v validity) {
	l.load.validity = v
	l.stager.unseal()
}

// isValidating reports whether the validation of the last load has to go on. It is given up if a newer
// version is complete meanwhile.
func (l *Loader) isValidating() bool {
	if l.load == nil || l.load.validity != validityPending {
		return false
	}
	next, ok := l.fetcher.newestComplete(l.slotTarget.model)
	if !ok || l.status.Busy || next.version <= l.load.target.version || clocks.Since(l.load.acceptedBy) < validationTimeout {
		return true
	}
	l.endValidation(validityUnknown)
	return false
}

// isServable reports whether the engine may get requests: what it serves is known to have been valid when
// it was loaded, or was loaded before the agent started.
func (l *Loader) isServable() bool {
	return l.load == nil || l.load.validity == validityValid && l.heldVersion(l.load.target.model) == l.load.target.version
}
