package pool

import (
	"math"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// slownessWeight is the weight of the newest run in the moving average of a worker's slowness.
const slownessWeight = 0.3

// maxSlowness bounds what one run of a known kind adds to the average, so that a run in the tail alone does not make a worker look slow;
// three in a row of 3.5 times the expected length do. With 4, two in a row did, and 2.5% of the workers looked slow in a trial without a slow one.
const maxSlowness = 3.5

// learn updates what is known of run times and of the worker when a run ends. The run time is 0 if it is unknown.
func (p *Pool) learn(at Moment, r *run, outcome worker.Outcome, took time.Duration) {
	h := r.host
	switch outcome {
	case worker.Done:
		h.overdue = 0
		h.lastDone = at.Steady
		p.outliers.RecordDone(at.Steady, r.outlierRun())
		if took = p.atData(r, took); took > 0 {
			p.learnSlowness(r, took)
			p.observeRunTime(at, r, took, false)
		}
	case worker.Failed:
		p.observeRunTime(at, r, took, true)
		p.learnFailure(at, r)
	case worker.Lost, worker.Stopped, worker.Expired, worker.GangMemberEnded, worker.GangIncomplete:
	}
}

// learnSlowness adds a run to the slowness of its worker. A kind whose declared times are wrong must not make healthy workers look
// slow, which would then get no more runs to show otherwise, so the run is compared with its prediction. Until there is one, it counts
// only for jobs that run more than once, which have none.
func (p *Pool) learnSlowness(r *run, took time.Duration) {
	expected := p.expectedRun(r)
	if expected.Median == 0 || !expected.Known && r.job.job.Spec.Once() {
		return
	}
	ratio := float64(took) / float64(expected.Median)
	if expected.Known {
		ratio = min(ratio, maxSlowness)
	}
	h := r.host
	if h.slowness == 0 {
		h.slowness = 1
	}
	h.slowness += slownessWeight * (ratio - h.slowness)
}

// Limits for finding the end of a run.
const (
	promptAnswer = 15 * time.Millisecond // time in which a worker answers a poll that does not wait; a later answer waited for an end
	maxUncertain = 4                     // ratio of the bounds of a run time that are taken into account
)

// took returns how long a run has taken whose end its worker has just reported, or 0 if this owner does not know when it began.
//
// All times are readings of the worker's clock in its answers, so it does not matter how late the owner handles these. The run began
// just before its worker answered the start. Where a poll waited for the end, the report tells the end exactly. Where the worker
// answered the poll at once, the run had ended since the last report that shows it. That time is as long as the worker had no poll to
// answer: pollGap, a round trip and up to two of the owner's iterations. The geometric mean of both bounds is used, since run times of
// one kind differ by factors.
func (r *run) took() time.Duration {
	h := r.host
	if r.startedAt == 0 || r.loss != nil || h.clock <= r.startedAt {
		return 0
	}
	longest, shortest := h.clock-r.startedAt, max(0, r.runningAt-r.startedAt)
	asked := h.lastPollSent - r.ordered // age at which the newest poll reached the worker, as the start did
	if longest-asked > promptAnswer || asked <= shortest {
		return longest
	}
	longest = min(longest, asked)
	shortest = max(shortest, longest/maxUncertain)
	return time.Duration(math.Sqrt(float64(shortest) * float64(longest)))
}

// atData returns how long a run would have taken beside its data.
func (p *Pool) atData(r *run, took time.Duration) time.Duration {
	if r.step.Rack == "" || r.step.Rack == r.host.info.Rack || p.config.RemoteSlowdown <= 1 {
		return took
	}
	return time.Duration(float64(took) / p.config.RemoteSlowdown)
}

// observeRunTime passes the end of a run of a job that runs once to the model.
func (p *Pool) observeRunTime(at Moment, r *run, took time.Duration, failed bool) {
	spec := &r.job.job.Spec
	if r.step.LongRunning || r.step.BestEffort || r.checkpointed || !spec.Once() {
		return
	}
	p.runTimes.Observe(at.Steady, runtimes.Sample{
		Key: runTimeKey(spec, r.id.Task.Step), Declared: r.step.Estimate, Took: took, Worker: r.host.info.ID, Rack: r.host.info.Rack, Failed: failed,
	})
}

// TakeRunTimes returns what is known of run times, to be stored, and reports whether there is anything new since the last call.
func (p *Pool) TakeRunTimes() (runtimes.Stored, bool) {
	if !p.runTimes.Changed() {
		return runtimes.Stored{}, false
	}
	return p.runTimes.Stored(), true
}

// RunTimes returns what is known of the run times of the kinds with the most ends, at most limit.
func (p *Pool) RunTimes(at Moment, limit int) []runtimes.Summary {
	return p.runTimes.Summaries(at.Steady, limit)
}
