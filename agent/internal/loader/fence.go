package loader

import (
	"context"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
)

// secondLayer is the part for a fence at an engine that holds firstLayer.
var secondLayer = engine.Layers{From: 1, To: 2}

// needsFence reports whether an order of an earlier agent may still be accepted. It expects the order count that the
// engine had when this agent started, and loads what is staged by then, so that no piece may be replaced before the
// engine has accepted another order. One that holds nothing can be given none without loading.
func (l *Loader) needsFence() bool {
	return !l.isFenced && clocks.Since(l.stager.startedAt) < earlierAgentTime && len(l.status.Held) > 0 && l.allLayers(l.status.Held[0].Model).To > 1
}

// advanceFence takes the next step towards a stage that may be replaced by the pieces of a version. If these are
// staged already, no fence is needed. Else the engine is ordered to hold one layer of what it holds.
func (l *Loader) advanceFence(ctx context.Context, t targetVersion) {
	l.stager.requestCheck()
	if !l.stager.isRead() || l.stager.isComplete(t) {
		return
	}
	l.stopRequests()
	if !clocks.Sleep(ctx, closeDelay) || !l.stager.hold() {
		return
	}
	held, layers := l.status.Held[0], firstLayer
	if l.status.Layers == firstLayer {
		layers = secondLayer
	}
	l.open = &openOrder{target: targetVersion{model: held.Model, version: held.Version}, layers: layers, expected: l.status.OrderCount, isFence: true}
	l.options.Log.Info("order-fence", zap.String("model", held.Model), zap.Int("version", held.Version), zap.Uint64("count", l.status.OrderCount))
	l.sendOrder()
}
