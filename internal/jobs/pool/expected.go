package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
)

// prediction returns how long one task of a step is expected to run: as the ends of its kind predict for jobs that run once, and as
// declared for others.
func (p *Pool) prediction(spec *job.Spec, step int) runtimes.Prediction {
	s := &spec.Steps[step]
	if !spec.Once() {
		return runtimes.Prediction{Median: s.Estimate, Mean: s.Estimate}
	}
	return p.runTimes.Predict(p.tickedAt, runTimeKey(spec, step), s.Estimate)
}

// runTimeKey returns the kind of the tasks of a step.
func runTimeKey(spec *job.Spec, step int) runtimes.Key {
	return runtimes.Key{Image: spec.Steps[step].Image, Queue: spec.Queue, Step: step}
}

// expected returns how long one task of a step is expected to run.
func (p *Pool) expected(spec *job.Spec, step int) time.Duration {
	return p.prediction(spec, step).Median
}

// predictionTTL is how long a pool uses a prediction for a job that it has. A placing round asks for thousands, and another follows
// within milliseconds.
const predictionTTL = 100 * time.Millisecond

// stepLength is the expected run time of a task of one step.
type stepLength struct{ median, mean, until time.Duration }

// expectedOf returns how long one task of a step of an accepted job is expected to run, as of at most predictionTTL ago.
func (p *Pool) expectedOf(e *entry, step int) stepLength {
	if e.lengths == nil {
		e.lengths = make([]stepLength, len(e.job.Spec.Steps))
	}
	l := &e.lengths[step]
	if p.tickedAt >= l.until {
		expected := p.prediction(&e.job.Spec, step)
		*l = stepLength{median: expected.Median, mean: expected.Mean, until: p.tickedAt + predictionTTL}
	}
	return *l
}

// expectedRun returns how long a run is expected to take.
func (p *Pool) expectedRun(r *run) runtimes.Prediction {
	return p.prediction(&r.job.job.Spec, r.id.Task.Step)
}

// chain returns the expected length of a job's longest chain of steps.
func (p *Pool) chain(spec *job.Spec) time.Duration {
	return spec.LongestChain(func(step int) time.Duration { return p.expected(spec, step) })
}

// remainingChain returns the expected length of the longest chain of steps that are not done.
func (p *Pool) remainingChain(e *entry, o *job.Occurrence) time.Duration {
	return e.job.LongestChain(o, func(step int) time.Duration { return p.expectedOf(e, step).median })
}

// work returns the expected work of a job.
func (p *Pool) work(spec *job.Spec) job.CoreTime {
	var sum job.CoreTime
	for s, step := range spec.Steps {
		sum += job.WorkOn(step.Count*step.CPU, p.prediction(spec, s).Mean)
	}
	return sum
}
