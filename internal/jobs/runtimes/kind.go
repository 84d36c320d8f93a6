package runtimes

import (
	"math"
	"time"
)

// All times are natural logarithms of seconds, since run times of one kind differ by factors.

// kind holds what is known of the tasks of one key. Means and sums are weighted: each new end reduces the weight of those before it.
type kind struct {
	ends, failed int64
	updated      time.Duration // when the weights were last reduced for their age

	weight float64 // of the ends
	meanY  float64 // of the run times

	// Regression of the run time on the declared time.
	declared     float64 // weight of the ends with a declared time
	meanX, meanZ float64 // of the declared times; of run time minus declared time
	sumXX, sumXZ float64 // central moments of these two

	scale           float64 // mean error of the predictions
	shift           float64 // recent mean of their signed errors, in units of scale
	declaredError   float64 // mean error of the declared times
	regressionError float64 // mean error of the regression

	levels    []level
	residuals residuals
	racks     rackRing

	slope      float64 // derived: how the run time minus the declared time changes with the declared time
	trust      float64 // derived: weight of the regression against the declared time itself
	tailFactor float64 // derived: tail divided by median
	meanFactor float64 // derived: mean divided by median
}

// level corrects the predictions for declared times of about the same length, where run times are no linear function of them.
type level struct {
	number       int // declared times from 2^number seconds up to twice that
	weight       float64
	meanX, meanY float64 // of the declared times and the run times
	last         float64 // number of ends of the kind at the newest one here, to replace the oldest level
}

// Limits of the regression and its correction.
const (
	maxError      = 3.0  // errors count for at most this many times the scale, so that a run in the tail hardly moves a median
	slopePrior    = 10.0 // sum of squares added for a slope of 0; equals 40 ends with declared times that differ by a factor of 1.6
	minSlope      = -1.0 // the declared time says nothing
	maxSlope      = 0.25
	lowestX       = 3.0 // standard deviations below the mean from which on a lower declared time predicts no shorter run
	minDeviation  = 0.4 // lower bound of that deviation
	minSpread     = 0.05
	maxLevels     = 12
	minLevelEnds  = 5   // ends at a level before it corrects anything
	sharedErrors  = 4.0 // tasks of a job err together: ends count as this many times fewer in the noise of a level's mean
	trustExponent = 4   // how sharply the better of declaration and regression is preferred
)

// age reduces the weights by the time since the last end.
func (k *kind) age(now, halfLife time.Duration) {
	passed := now - k.updated
	if passed <= 0 {
		return
	}
	k.updated = now
	k.scaleWeights(math.Exp2(-float64(passed) / float64(halfLife)))
}

func (k *kind) scaleWeights(by float64) {
	k.weight *= by
	k.declared *= by
	k.sumXX *= by
	k.sumXZ *= by
	k.residuals.scale(by)
	for i := range k.levels {
		k.levels[i].weight *= by
	}
}

func (k *kind) isKnown(now, halfLife time.Duration) bool {
	if k.ends < MinEnds {
		return false
	}
	weight := k.weight
	if passed := now - k.updated; passed > halfLife/8 {
		weight *= math.Exp2(-float64(passed) / float64(halfLife))
	}
	return weight >= minWeight
}

// isWorthLess reports whether k is to be replaced before other.
func (k *kind) isWorthLess(other *kind) bool {
	if a, b := k.ends >= MinEnds, other.ends >= MinEnds; a != b {
		return b
	}
	if k.updated != other.updated {
		return k.updated < other.updated
	}
	return k.ends < other.ends
}

// observe learns a run time y for a declared time x, if there was one.
func (k *kind) observe(x, y float64, declared bool) {
	predicted := y
	if k.ends > 0 {
		predicted = k.predict(x, declared)
	}
	err := y - predicted
	if k.ends > 0 {
		k.observeError(x, y, err, declared)
	}
	k.ends++
	limit := maxError * k.scale
	y = predicted + clamp(err, -limit, limit)
	k.weight = k.weight*(1-1.0/memory) + 1
	k.meanY += (y - k.meanY) / k.weight
	if declared {
		k.observeDeclared(x, y)
	}
	k.derive()
}

// observeError learns from the error of a prediction and from those of its two sources.
func (k *kind) observeError(x, y, err float64, declared bool) {
	pace := 1 / min(float64(k.ends)+1, errorMemory)
	limit := maxError * k.scale
	if k.ends >= MinEnds/2 {
		k.residuals.add(err) // the errors of the first predictions would count in the tail for long
	}
	if declared {
		k.declaredError += (math.Min(math.Abs(y-x), limit) - k.declaredError) * pace
		k.regressionError += (math.Min(math.Abs(y-k.regress(x)), limit) - k.regressionError) * pace
		k.observeLevel(x, y)
	}
	k.shift += (clamp(err/k.scale, -maxError, maxError) - k.shift) / shiftMemory
	k.scale = clamp(k.scale+(math.Min(math.Abs(err), limit)-k.scale)*pace, minScale, maxScale)
	if math.Abs(k.shift) > maxShift && k.ends >= shiftMemory {
		k.restart()
	}
}

// maxShift is the recent mean error, in units of the scale, from which on the behaviour of a kind has changed. With jobs of 8 tasks that
// err together, 1.8 missed changes by a factor of 2, and 1.3 took queues with few jobs at a time for changed (error 0.29 instead of 0.27).
const maxShift = 1.5

// restart follows a sudden change of behaviour: it moves the estimates by the recent error and forgets most of what led to them.
func (k *kind) restart() {
	by := k.shift * k.scale
	k.meanY += by
	k.meanZ += by
	k.shift = 0
	k.levels = k.levels[:0]
	if k.weight > shiftKept {
		k.scaleWeights(shiftKept / k.weight)
	}
}

func (k *kind) observeDeclared(x, y float64) {
	if k.declared > 0 { // one absurd value must not decide the slope
		x = clamp(x, k.meanX-lowestX*k.deviation(), k.meanX+lowestX*k.deviation())
	}
	z := y - x
	keep := 1 - 1.0/memory
	k.declared = k.declared*keep + 1
	dx, dz := x-k.meanX, z-k.meanZ
	k.meanX += dx / k.declared
	k.meanZ += dz / k.declared
	k.sumXX = max(0, k.sumXX*keep+dx*(x-k.meanX)) // rounding can make the product of a single end negative
	k.sumXZ = k.sumXZ*keep + dx*(z-k.meanZ)
}

// deviation returns the standard deviation of the declared times.
func (k *kind) deviation() float64 {
	if k.declared == 0 {
		return minDeviation
	}
	return math.Max(minDeviation, math.Sqrt(k.sumXX/k.declared))
}

// observeLevel learns the run time y at the level of a declared time x.
func (k *kind) observeLevel(x, y float64) {
	number := levelOf(x)
	now := float64(k.ends)
	oldest := 0
	for i := range k.levels {
		l := &k.levels[i]
		if l.number == number {
			limit := maxError * k.scale
			l.weight = l.weight*(1-1.0/memory) + 1
			l.meanX += (x - l.meanX) / l.weight
			l.meanY += clamp(y-l.meanY, -limit, limit) / l.weight
			l.last = now
			return
		}
		if l.last < k.levels[oldest].last {
			oldest = i
		}
	}
	l := level{number: number, weight: 1, meanX: x, meanY: y, last: now}
	if len(k.levels) < maxLevels {
		k.levels = append(k.levels, l)
		return
	}
	k.levels[oldest] = l
}

func levelOf(x float64) int { return int(math.Floor(x / math.Ln2)) }

// derive computes what the predictions use.
func (k *kind) derive() {
	k.slope = clamp(k.sumXZ/(k.sumXX+slopePrior), minSlope, maxSlope)
	k.trust = 1
	if d, r := math.Pow(k.declaredError, trustExponent), math.Pow(k.regressionError, trustExponent); d+r > 0 {
		k.trust = d / (d + r)
	}
	k.meanFactor = clamp(k.residuals.mean(), 1, maxMean)
	k.tailFactor = clamp(math.Exp(k.residuals.tail()), minTail, maxTail)
}

// predict returns the expected run time for a declared time x, if there is one.
func (k *kind) predict(x float64, declared bool) float64 {
	if !declared || k.declared < 1 {
		return k.meanY
	}
	return k.base(x) + k.correction(x)
}

// regress returns the run time that the regression expects.
func (k *kind) regress(x float64) float64 { return x + k.meanZ + k.slope*(x-k.meanX) }

// base weights the declared time against the regression. A declared time that is much lower than usual counts as a higher one, so that
// a caller gains nothing by it.
func (k *kind) base(x float64) float64 {
	x = math.Max(x, k.meanX-lowestX*k.deviation())
	return (1-k.trust)*x + k.trust*k.regress(x)
}

// correction returns the mean error of the base at the level of a declared time, as far as it exceeds its own noise.
func (k *kind) correction(x float64) float64 {
	number := levelOf(x)
	for i := range k.levels {
		l := &k.levels[i]
		if l.number != number {
			continue
		}
		if l.weight < minLevelEnds {
			return 0
		}
		mean := l.meanY - k.base(l.meanX)
		noise := sharedErrors * math.Max(k.scale*k.scale, minSpread) / l.weight
		if mean*mean <= noise {
			return 0
		}
		return mean - noise/mean
	}
	return 0
}

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
