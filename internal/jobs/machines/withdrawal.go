package machines

import (
	"slices"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// HasWave reports whether the planner has a wave that is not withdrawn.
func (p *Planner) HasWave(number int) bool {
	w, ok := p.waves[number]
	return ok && !w.withdrawn
}

// WithdrawWave ends a wave at the operators' request: no further instance is drained or maintained for it, and those that drain
// serve again.
func (p *Planner) WithdrawWave(number int) {
	if w, ok := p.waves[number]; ok {
		w.withdrawn = true
	}
}

// isOrdered reports whether an order for an instance is on its way.
func (p *Planner) isOrdered(name string) bool { return p.transit[name].sent }

// dropWithdrawn drops the withdrawn waves for which no order is on its way and no instance is down.
func (r *round) dropWithdrawn() {
	for number, w := range r.waves {
		if !w.withdrawn {
			continue
		}
		r.releaseDrained(number)
		r.settleDown(w)
		if len(w.down) == 0 && !slices.ContainsFunc(w.Instances, r.isOrdered) {
			delete(r.waves, number)
		}
	}
}

// releaseDrained has the instances serve again that drain for a wave, but for those with an order on its way.
func (r *round) releaseDrained(number int) {
	for name, g := range r.draining {
		if g.wave == number && !r.isOrdered(name) {
			delete(r.draining, name)
		}
	}
}

// withdrawWaves withdraws the waves that the operators no longer have.
func (a *Autoscaler) withdrawWaves(inForce []catalog.Wave) {
	for _, number := range a.planner.Waves() {
		if slices.ContainsFunc(inForce, func(w catalog.Wave) bool { return w.Number == number }) {
			continue
		}
		a.planner.WithdrawWave(number)
		a.config.Logger.Info("wave withdrawn", zap.Int("wave", number))
	}
}
