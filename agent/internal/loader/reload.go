package loader

import "currantport.example/core/engine"

// firstLayer is the part that an engine keeps when it drops a version.
var firstLayer = engine.Layers{To: 1}

// isDamaged reports whether the engine holds the version without all of its layers, or with stale ones.
func (l *Loader) isDamaged(t targetVersion) bool {
	return l.heldVersion(t.model) == t.version && (l.isStale(t) || !l.status.Holds(t.model, t.version))
}

// staleLayers are the layers of a version that the engine has from loads that aren't known to be valid. An engine
// keeps the layers that it holds of an ordered version, so that it has to drop these before it loads them again.
type staleLayers struct {
	target targetVersion
	layers engine.Layers
}

// isStale reports whether the engine holds layers of the version that it has to load again.
func (l *Loader) isStale(t targetVersion) bool {
	return l.stale.target == t && l.stale.layers != (engine.Layers{})
}

// mustDrop reports whether the engine has to drop stale layers of the version before the pieces may be staged
// again. Otherwise a later agent would find right pieces and take the load for a valid one.
func (l *Loader) mustDrop(t targetVersion) bool {
	return l.isStale(t) && l.nextLayers(t) == firstLayer
}

// keepStale records that the engine has dropped all layers but some of a version, and that those it has
// loaded since are valid.
func (l *Loader) keepStale(t targetVersion, kept engine.Layers) {
	if l.stale.target != t {
		l.stale = staleLayers{}
	}
	if kept != (engine.Layers{}) {
		l.stale.layers, _ = l.stale.layers.Intersect(kept)
	}
}

// nextLayers returns the layers for the next order of a version. Two orders of parts that have no layer in
// common make the engine drop all stale layers.
func (l *Loader) nextLayers(t targetVersion) engine.Layers {
	all := l.allLayers(t.model)
	switch {
	case !l.isStale(t) || l.heldVersion(t.model) != t.version || all.To < 2:
		return engine.Layers{}
	case l.stale.layers == firstLayer, l.status.Layers == firstLayer:
		return engine.Layers{From: 1, To: all.To}
	}
	return firstLayer
}

// allLayers returns the layers of a model, or the zero value if it has none.
func (l *Loader) allLayers(model string) engine.Layers {
	p := l.options.Mirror.Snapshot().Pool(l.options.Pool)
	if p == nil || p.Engine == nil || len(p.Engine.Models) == 0 || p.Engine.Models[0].Name != model {
		return engine.Layers{}
	}
	return engine.Layers{To: p.Engine.Layers}
}
