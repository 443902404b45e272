package loader

import (
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
)

// validationTimeout is the time after which the validation of a load is given up for a newer version.
const validationTimeout = 5 * time.Second

// inheritedTimeout is the time after which a load that the agent has found at its start counts as valid. Entries
// keep an engine closed for as long after the last report of the previous agent.
const inheritedTimeout = 10 * time.Second

// load is the last load that the engine has accepted, or had when the agent started. The engine gets no
// requests until the load is known to be valid. If that can't be known any more, it loads the layers again.
type load struct {
	// target is the version. For an order of another agent it is zero until the engine serves it.
	target targetVersion
	layers engine.Layers
	// count is the order count of the engine since it accepted the load.
	count uint64
	// acceptedBy is the time by which it had accepted it.
	acceptedBy time.Time
	validity   validity
	// isInherited is set for a load that was complete when the agent first saw the engine. The previous agent
	// may not have validated it.
	isInherited bool
}

// sentOrder is the last order that was sent.
type sentOrder struct {
	target   targetVersion
	layers   engine.Layers
	expected uint64
}

// trackLoad notices from a new status that the engine has accepted a load.
func (l *Loader) trackLoad(s engine.Status) {
	isFirst, count, seenAt := l.statusAt.IsZero(), l.status.OrderCount, l.statusAt
	if !isFirst && !s.Started.Equal(l.status.Started) {
		l.load, l.stale, l.isFenced, count = nil, staleLayers{}, true, 0
	}
	if isFirst && !s.Busy && len(s.Held) > 0 {
		l.inheritLoad(s)
		return
	}
	isNew := s.OrderCount != count || isFirst && s.Busy
	if !isNew || l.load != nil && l.load.count == s.OrderCount {
		return
	}
	if l.sent.target.version != 0 && s.OrderCount == l.sent.expected+1 {
		l.recordLoad(l.sent, clocks.Now())
		return
	}
	l.isFenced = l.isFenced || !isFirst
	l.load = &load{count: s.OrderCount, acceptedBy: clocks.Now(), validity: validityPending}
	if !l.stager.sealForeign(seenAt, l.load.acceptedBy) {
		l.endValidation(validityUnknown)
	}
	l.options.Log.Warn("order-unknown", zap.Uint64("count", s.OrderCount), zap.Uint64("before", count), zap.Bool("busy", s.Busy),
		zap.String("validity", string(l.load.validity)))
}

// inheritLoad records what the engine serves when the agent first sees it.
func (l *Loader) inheritLoad(s engine.Status) {
	held := s.Held[0]
	l.load = &load{
		target: targetVersion{model: held.Model, version: held.Version}, count: s.OrderCount, acceptedBy: clocks.Now(),
		validity: validityPending, isInherited: true,
	}
	l.stager.sealForeign(time.Time{}, l.load.acceptedBy)
	l.stager.retarget(l.load.target)
}

// recordLoad records that the engine has accepted an order of this agent by a time.
func (l *Loader) recordLoad(o sentOrder, acceptedBy time.Time) {
	l.isFenced = true
	l.load = &load{target: o.target, layers: o.layers, count: o.expected + 1, acceptedBy: acceptedBy, validity: validityPending}
	l.stager.seal(o.target, acceptedBy)
	l.updateValidity()
}

// updateValidity takes over what the stager has found out about the last load.
func (l *Loader) updateValidity() {
	if l.load == nil || l.load.target.version == 0 && !l.findForeignTarget() {
		return
	}
	if l.load.validity == validityUnknown && l.stale.layers == (engine.Layers{}) {
		// The tables may not have been known when the validation ended.
		l.stale = staleLayers{target: l.load.target, layers: l.allLayers(l.load.target.model)}
	}
	if l.load.validity != validityPending || l.load.isInherited && !l.knowsLayers(l.load.target) {
		return
	}
	v, corrupt := l.stager.loadValidity(l.load.target)
	if l.load.isInherited && !l.status.Holds(l.load.target.model, l.load.target.version) {
		// An agent has ended while the engine loaded its layers again.
		v = validityUnknown
	}
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

// knowsLayers reports whether the status tells if the engine holds all layers of a version, for which the
// tables must have been known when it was read.
func (l *Loader) knowsLayers(t targetVersion) bool {
	if l.tablesAt.IsZero() && l.allLayers(t.model).To > 0 {
		l.tablesAt = clocks.Now()
	}
	return !l.tablesAt.IsZero() && l.statusAt.After(l.tablesAt)
}

// findForeignTarget determines the version of a load that another agent has ordered, once the engine
// serves it.
func (l *Loader) findForeignTarget() bool {
	if l.status.Busy || len(l.status.Held) == 0 {
		return false
	}
	held := l.status.Held[0]
	t := targetVersion{model: held.Model, version: held.Version}
	if !l.knowsLayers(t) {
		return false
	}
	l.load.target = t
	switch {
	case l.load.validity != validityPending:
	case !held.Whole:
		// The order was one of a part of the layers.
		l.endValidation(validityUnknown)
	default:
		l.stager.retarget(t)
	}
	return true
}

// endValidation records the result of the validation of the last load.
func (l *Loader) endValidation(v validity) {
	l.load.validity, l.load.isInherited = v, false
	if v == validityValid {
		l.keepStale(l.load.target, l.load.layers)
		return
	}
	l.stale = staleLayers{target: l.load.target, layers: l.load.layers}
	if l.load.layers == (engine.Layers{}) {
		l.stale.layers = l.allLayers(l.load.target.model)
	}
}

// mustHoldStage reports whether no piece may be stored.
func (l *Loader) mustHoldStage() bool {
	if l.open != nil || l.needsFence() {
		return true
	}
	if l.load == nil || !l.stager.hasTarget(l.load.target) {
		return false
	}
	return l.load.validity == validityPending || l.load.validity == validityUnknown && l.mustDrop(l.load.target)
}

// isValidating reports whether the validation of the last load has to go on, where t is the released version.
// It is given up if a newer version is complete meanwhile.
func (l *Loader) isValidating(t targetVersion) bool {
	if l.load == nil || l.load.validity != validityPending {
		return false
	}
	if l.load.isInherited {
		return l.isInheritedPending(t)
	}
	if l.load.target.version != 0 && !l.stager.hasVersion() && clocks.Since(l.load.acceptedBy) >= inheritedTimeout {
		// Neither the origin nor a peer has the manifest. Without the engine nothing might serve meanwhile.
		l.load.validity, l.load.isInherited = validityAssumed, true
		return false
	}
	next, ok := l.fetcher.newestComplete(l.slotTarget.model)
	if !ok || l.status.Busy || next.version <= l.load.target.version || clocks.Since(l.load.acceptedBy) < validationTimeout {
		return true
	}
	l.endValidation(validityUnknown)
	return false
}

// isInheritedPending is isValidating for a load that the agent has found at its start. One of a version that has
// been replaced can't be validated, as the previous agent may have staged pieces of the next.
func (l *Loader) isInheritedPending(t targetVersion) bool {
	if l.load.target == t && clocks.Since(l.load.acceptedBy) < inheritedTimeout {
		return true
	}
	l.load.validity = validityAssumed
	return false
}

// isInheriting reports whether the agent doesn't know whether the engine may get requests. Meanwhile it
// reports nothing, so that entries keep to what the previous agent has reported.
func (l *Loader) isInheriting() bool {
	return l.load != nil && l.load.isInherited && clocks.Since(l.load.acceptedBy) < inheritedTimeout
}

// isServable reports whether the engine may get requests: it serves something, and that is known to have been
// valid when it was loaded, or can't be validated any more. An engine that holds nothing counts as closed, as an order
// of an earlier agent may be accepted while this one stands still.
func (l *Loader) isServable() bool {
	if len(l.status.Held) == 0 {
		return false
	}
	if l.load == nil || l.load.isInherited {
		return true
	}
	return l.load.validity == validityValid && !l.isStale(l.load.target) && l.heldVersion(l.load.target.model) == l.load.target.version
}
