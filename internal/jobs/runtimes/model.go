package runtimes

import (
	"math"
	"slices"
	"time"
)

// Key names a kind of task whose runs are predicted together: its image where it has one, otherwise its queue and step.
type Key struct {
	Image, Queue string
	Step         int
}

// kind returns the key with only the fields that tell kinds apart.
func (k Key) kind() Key {
	if k.Image != "" {
		return Key{Image: k.Image}
	}
	return k
}

// Sample is a run that a worker has reported as ended. Runs that were stopped, lost or resumed from a checkpoint are no samples.
type Sample struct {
	Key            Key
	Declared, Took time.Duration // Declared is 0 where the caller declared nothing
	Worker, Rack   string        // where it ran; the worker counts where racks are unknown
	Failed         bool          // says nothing about how long a run takes that does its work
}

// Prediction is the expected run time of one task.
type Prediction struct {
	Median time.Duration
	Mean   time.Duration // for sums of work, to which the few long runs add
	Tail   time.Duration // exceeded by about 1 run in 100, as far as maxTail allows; 0 unless Known
	Known  bool          // whether enough ends were seen; otherwise Median and Mean are what was declared
}

// Config holds the settings of a Model. A value of 0 stands for the default.
type Config struct {
	MaxKeys  int
	HalfLife time.Duration // time in which what was observed loses half of its weight
}

// Defaults of Config.
const (
	defaultMaxKeys  = 256              // below 1 KB each
	defaultHalfLife = 10 * time.Minute // a kind that has been idle for an hour or so is learned anew
)

// Limits for what is learned. They are numbers of ends, whatever the time that these take.
const (
	MinEnds     = 20  // ends of a kind after which its predictions replace declared times
	minWeight   = 10  // weight that the ends must have left after ageing
	memory      = 150 // ends that the estimates cover; a mean over fewer varies by more than 10% where jobs have 8 similar tasks
	tailMemory  = 500 // ends that the tail covers, since 1 in 100 counts
	errorMemory = 50  // ends over which declaration and prediction are compared
	shiftMemory = 10  // ends over which a change of behaviour is noticed
	shiftKept   = 4   // weight left of earlier ends after such a change
)

// Bounds of what is stored and predicted.
const (
	minTook     = time.Millisecond
	maxTook     = 7 * 24 * time.Hour
	maxMean     = 2.0 // multiple of the median
	minTail     = 1.5 // multiple of the median
	maxTail     = 10  // the same; a run that is older than that is stuck rather than long
	maxScale    = 2.0 // of a kind's mean error, in natural logarithms
	minScale    = 0.1
	initialSize = 0.5 // mean error that is assumed of a kind at first; 0.5 is a factor of 1.6
)

// Model predicts run times by kind.
type Model struct {
	config  Config
	kinds   map[Key]*kind
	racks   []rack
	changed bool
}

// New returns a model that knows nothing.
func New(c Config) *Model {
	if c.MaxKeys <= 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.HalfLife <= 0 {
		c.HalfLife = defaultHalfLife
	}
	return &Model{config: c, kinds: map[Key]*kind{}}
}

// Observe learns from the end of a run.
func (m *Model) Observe(now time.Duration, s Sample) {
	key := s.Key.kind()
	k := m.kinds[key]
	if s.Failed {
		if k != nil { // a kind that only fails must not displace one that does its work
			k.failed++
			m.changed = true
		}
		return
	}
	if s.Took <= 0 {
		return
	}
	if k == nil {
		k = m.add(now, key)
	}
	m.changed = true
	k.age(now, m.config.HalfLife)
	y := logOf(s.Took)
	place := s.Rack
	if place == "" {
		place = s.Worker
	}
	x, declared := 0.0, s.Declared > 0
	if declared {
		x = logOf(s.Declared)
	}
	if k.ends > 0 {
		y -= m.rackExcess(k, place, y-k.predict(x, declared))
	}
	k.observe(x, y, declared)
}

// Predict returns how long a task is expected to run for which the caller has declared a time, or none.
func (m *Model) Predict(now time.Duration, key Key, declared time.Duration) Prediction {
	k := m.kinds[key.kind()]
	if k == nil || !k.isKnown(now, m.config.HalfLife) {
		return Prediction{Median: declared, Mean: declared}
	}
	x := 0.0
	if declared > 0 {
		x = logOf(declared)
	}
	median := math.Exp(k.predict(x, declared > 0))
	return Prediction{Median: durationOf(median), Mean: durationOf(median * k.meanFactor), Tail: durationOf(median * k.tailFactor), Known: true}
}

// add returns a new kind. If the model is full it replaces the one that has taught least: kinds that predict nothing yet go first, then
// the one that has ended least recently.
func (m *Model) add(now time.Duration, key Key) *kind {
	if len(m.kinds) >= m.config.MaxKeys {
		var least Key
		var worst *kind
		for other, k := range m.kinds {
			if worst == nil || k.isWorthLess(worst) {
				least, worst = other, k
			}
		}
		delete(m.kinds, least)
	}
	k := &kind{updated: now, scale: initialSize, tailFactor: minTail, meanFactor: 1}
	m.kinds[key] = k
	return k
}

// Summary describes what is known of a kind, for operators.
type Summary struct {
	Key           Key
	Ends, Failed  int64
	Known         bool
	Median, Tail  time.Duration // without regard to what a caller declares
	DeclaredError float64       // mean error of declared times as a factor, such as 1.5; 0 if none were declared
	Error         float64       // mean error of the predictions as a factor
}

// Summaries returns what is known of the kinds with the most ends, at most limit.
func (m *Model) Summaries(now time.Duration, limit int) []Summary {
	list := make([]Summary, 0, len(m.kinds))
	for key, k := range m.kinds {
		median := math.Exp(k.meanY)
		s := Summary{
			Key: key, Ends: k.ends, Failed: k.failed, Known: k.isKnown(now, m.config.HalfLife), Median: durationOf(median),
			Tail: durationOf(median * k.tailFactor), Error: math.Exp(k.scale),
		}
		if k.declared > 0 {
			s.DeclaredError = math.Exp(k.declaredError)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Summary) int {
		if a.Ends != b.Ends {
			return int(b.Ends - a.Ends)
		}
		return compareKeys(a.Key, b.Key)
	})
	return list[:min(limit, len(list))]
}

// logOf returns the natural logarithm of a time in seconds.
func logOf(d time.Duration) float64 { return math.Log(min(max(d, minTook), maxTook).Seconds()) }

func durationOf(seconds float64) time.Duration {
	return min(max(time.Duration(min(seconds, maxTook.Seconds())*float64(time.Second)), minTook), maxTook)
}
