package instance

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/runtimes"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
)

// Metrics holds the metrics of one instance.
type Metrics struct {
	Registry   *prometheus.Registry
	calls      *prometheus.HistogramVec // seconds of a caller's request, by queue, call and outcome
	startWait  *prometheus.HistogramVec // seconds from a job's acceptance to a start, by team and queue
	taskWait   *prometheus.HistogramVec // seconds that a task waits for its first start, by team, queue and reason
	ownerSteps *prometheus.HistogramVec // seconds of the steps of an owner's control loop, by pool and part
	jobs       *prometheus.HistogramVec // seconds of a job, by team, queue and outcome
	runs       *prometheus.CounterVec   // ended runs, by pool and outcome
	givenUp    *prometheus.CounterVec   // tasks that were given up since they crash workers, by pool
	lostRuns   *prometheus.CounterVec   // runs whose end no worker has reported, by pool and cause
	changes    *prometheus.CounterVec   // changes of a shard's owner that this instance decided on, by cause and outcome
	runTimes   *prometheus.GaugeVec     // seconds that runs take, by pool, kind of task and quantile
	runErrors  *prometheus.GaugeVec     // mean error of declared and predicted run times as a factor, by pool and kind of task
	cancels    *prometheus.CounterVec   // pools asked to cancel a job, by answer
	Intake     *intake.Metrics          // what the clients of each listener hold
	rejections *prometheus.CounterVec   // jobs rejected for lack of capacity, by pool, team and reason
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	buckets := []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3.2, 5, 10, 30}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
	}
	m := &Metrics{
		Registry:   prometheus.NewRegistry(),
		calls:      histogram("marigoldshed_call_seconds", "Time of a caller's request.", "queue", "call", "outcome"),
		startWait:  histogram("marigoldshed_start_wait_seconds", "Time from a job's acceptance to the start of a task.", "team", "queue"),
		taskWait:   histogram("marigoldshed_task_wait_seconds", "Time that a task waits for its first start.", "team", "queue", "reason"),
		ownerSteps: histogram("marigoldshed_owner_seconds", "Time of the steps of an owner's control loop.", "pool", "part"),
		jobs:       histogram("marigoldshed_job_seconds", "Time from a job's acceptance to its end.", "team", "queue", "outcome"),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_runs_total", Help: "Runs that have ended.",
		}, []string{"pool", "end"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_tasks_given_up_total", Help: "Tasks that were given up since they crash workers.",
		}, []string{"pool"}),
		lostRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_runs_lost_total", Help: "Runs whose end no worker has reported.",
		}, []string{"pool", "cause"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_owner_changes_total", Help: "Handovers and elections that this instance has decided on.",
		}, []string{"cause", "outcome"}),
		runTimes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "marigoldshed_run_time_seconds", Help: "Time that the runs of a kind of task take.",
		}, []string{"pool", "image", "queue", "step", "quantile"}),
		runErrors: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "marigoldshed_run_time_error_ratio", Help: "Mean error of declared and of predicted run times, as a factor.",
		}, []string{"pool", "image", "queue", "step", "source"}),
		cancels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_cancellations_total", Help: "Pools that were asked to cancel a job.",
		}, []string{"answer"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_rejections_total", Help: "Jobs that were rejected since they could not end in time.",
		}, []string{"pool", "team", "reason"}),
	}
	m.Intake = intake.NewMetrics(m.Registry)
	m.Registry.MustRegister(m.calls, m.startWait, m.taskWait, m.ownerSteps, m.jobs, m.runs, m.lostRuns, m.givenUp, m.changes, m.cancels, m.rejections, m.runTimes, m.runErrors)
	return m
}

// RecordCall records the duration of a caller's request.
func (m *Metrics) RecordCall(queue, call, outcome string, took time.Duration) {
	m.calls.WithLabelValues(queue, call, outcome).Observe(took.Seconds())
}

func (m *Metrics) recordCancellation(answer string) { m.cancels.WithLabelValues(answer).Inc() }

// Causes of a change of a shard's owner.
const (
	weightCause   = "weight"   // the owner handed it to a much heavier instance
	balanceCause  = "balance"  // the owner handed it over to even out the load
	stopCause     = "stop"     // the owner was stopping
	electionCause = "election" // the owner was gone
)

// Outcomes of a change of a shard's owner.
const (
	writtenOutcome  = "written"
	declinedOutcome = "declined" // the other instance has declined it, or has not answered
	failedOutcome   = "failed"   // it could not be written, or the table of owners has changed meanwhile
)

func (m *Metrics) recordOwnerChange(cause, outcome string) {
	m.changes.WithLabelValues(cause, outcome).Inc()
}

// Observer returns an observer that counts and logs the decisions of one pool.
func (m *Metrics) Observer(name string, logger *zap.Logger) pool.Observer {
	return &observer{metrics: m, pool: name, logger: logger.With(zap.String("pool", name))}
}

// TimingObserver returns an observer that records the durations of the steps of an owner's control loop.
func (m *Metrics) TimingObserver(name string) shard.TimingObserver {
	return timingObserver{metrics: m, pool: name}
}

type timingObserver struct {
	metrics *Metrics
	pool    string
}

func (o timingObserver) ObserveDuration(part string, took time.Duration) {
	o.metrics.ownerSteps.WithLabelValues(o.pool, part).Observe(took.Seconds())
}

type observer struct {
	metrics *Metrics
	pool    string
	logger  *zap.Logger
}

func (o *observer) Placed(spec *job.Spec, task job.Name, run int, worker string, waited time.Duration) {
	o.metrics.startWait.WithLabelValues(spec.Team, spec.Queue).Observe(waited.Seconds())
	o.logger.Debug("task placed", zap.String("job", string(task.Job)), zap.Int("step", task.Step), zap.Int("index", task.Index),
		zap.Int("run", run), zap.String("worker", worker), zap.Duration("waited", waited))
}

// Reasons for which a task waits for its first start.
const (
	ownerReason    = "owner"
	capacityReason = "room"
	logReason      = "log"
	orderReason    = "order"
)

func (o *observer) RunBegun(spec *job.Spec, w pool.Waits) {
	o.waited(spec, ownerReason, w.Owner)
	o.waited(spec, capacityReason, w.Capacity)
	o.waited(spec, logReason, w.Log)
	o.waited(spec, orderReason, w.Order)
}

func (o *observer) waited(spec *job.Spec, reason string, took time.Duration) {
	o.metrics.taskWait.WithLabelValues(spec.Team, spec.Queue, reason).Observe(took.Seconds())
}

func (o *observer) Ended(_ *job.Spec, e pool.RunEnd) {
	how := e.Outcome.String()
	o.metrics.runs.WithLabelValues(o.pool, how).Inc()
	if e.Cause != pool.Reported {
		o.metrics.lostRuns.WithLabelValues(o.pool, e.Cause.String()).Inc()
	}
	level := zap.DebugLevel
	if e.Outcome != worker.Done && e.Outcome != worker.Stopped {
		level = zap.InfoLevel
	}
	o.logger.Log(level, "run ended", zap.String("job", string(e.Task.Job)), zap.Int("step", e.Task.Step), zap.Int("index", e.Task.Index),
		zap.Int("run", e.Run), zap.String("worker", e.Worker), zap.String("how", how), zap.String("cause", e.Cause.String()),
		zap.Stringer("proof", e.Proof), zap.Bool("shown", e.Shown),
		zap.Duration("survived", e.Survived), zap.Duration("until", e.Until), zap.Duration("ran", e.Took), zap.Int("beside", e.Beside), zap.Bool("suspect", e.Suspect),
		zap.Int("crashes", e.Crashes))
}

func (o *observer) GivenUp(spec *job.Spec, t *job.Task) {
	o.metrics.givenUp.WithLabelValues(o.pool).Inc()
	o.logger.Warn("gave up a task that crashes workers", zap.String("job", string(spec.ID)), zap.String("queue", spec.Queue),
		zap.Int("step", t.Name.Step), zap.Int("index", t.Name.Index), zap.Int("run", t.Run), zap.Int("crashes", t.Crash.Total()), zap.Int("certain", t.Crash.Certain))
}

func (o *observer) Rejected(spec *job.Spec, d admission.Decision) {
	o.metrics.rejections.WithLabelValues(o.pool, spec.Team, d.Reason.String()).Inc()
	o.logger.Info("job rejected", zap.String("job", string(spec.ID)), zap.String("queue", spec.Queue), zap.String("team", spec.Team),
		zap.Int("priority", spec.Policy.Priority), zap.Stringer("reason", d.Reason), zap.Int("share", d.Share), zap.Float64("ahead", float64(d.Ahead)),
		zap.Duration("expected_end", d.ExpectedEnd), zap.Duration("allowed", d.Objective), zap.Duration("retry", d.Retry))
}

func (o *observer) JobEnded(spec *job.Spec, state job.State, took time.Duration) {
	o.metrics.jobs.WithLabelValues(spec.Team, spec.Queue, state.String()).Observe(took.Seconds())
	o.logger.Info("job ended", zap.String("job", string(spec.ID)), zap.String("queue", spec.Queue), zap.String("state", state.String()),
		zap.Duration("took", took), zap.Duration("allowed", spec.Objective()), zap.Duration("chain", spec.Chain()))
}

func (o *observer) JobDropped(spec *job.Spec, state job.State, age time.Duration) {
	o.logger.Info("job dropped", zap.String("job", string(spec.ID)), zap.String("queue", spec.Queue), zap.String("state", state.String()),
		zap.Duration("age", age))
}

func (o *observer) Unexpected(task *job.Task, run int, worker, what string) {
	o.metrics.runs.WithLabelValues(o.pool, unexpectedRun).Inc()
	name := task.Name
	o.logger.Warn("abandoned run "+what, zap.String("job", string(name.Job)), zap.Int("step", name.Step), zap.Int("index", name.Index),
		zap.Int("run", run), zap.String("worker", worker), zap.Int("current", task.Run), zap.Bool("done", task.Done))
}

// unexpectedRun is the label value for runs that a worker reported after they had been abandoned.
const unexpectedRun = "unexpected"

func (o *observer) WorkerChanged(worker, what string) {
	o.logger.Info("worker changed", zap.String("worker", worker), zap.String("what", what))
}

func (o *observer) WorkerRestarted(r pool.Restart) {
	o.logger.Info("worker started again", zap.String("worker", r.Worker), zap.Time("before", r.Before), zap.Time("after", r.After),
		zap.Int("runs", r.Runs), zap.Int("unanswered", r.Unanswered))
}

// RunTimeObserver returns an observer that exports and logs what is known of the run times in one pool.
func (m *Metrics) RunTimeObserver(name string, logger *zap.Logger) shard.RunTimeObserver {
	return &runTimeObserver{metrics: m, pool: name, logger: logger.With(zap.String("pool", name))}
}

type runTimeObserver struct {
	metrics *Metrics
	pool    string
	logger  *zap.Logger
}

func (o *runTimeObserver) ObserveRunTimes(list []runtimes.Summary) {
	o.metrics.runTimes.DeletePartialMatch(prometheus.Labels{"pool": o.pool})
	o.metrics.runErrors.DeletePartialMatch(prometheus.Labels{"pool": o.pool})
	for _, s := range list {
		if !s.Known {
			continue
		}
		kind := []string{o.pool, s.Key.Image, s.Key.Queue, strconv.Itoa(s.Key.Step)}
		o.metrics.runTimes.WithLabelValues(append(kind, "median")...).Set(s.Median.Seconds())
		o.metrics.runTimes.WithLabelValues(append(kind, "tail")...).Set(s.Tail.Seconds())
		o.metrics.runErrors.WithLabelValues(append(kind, "predicted")...).Set(s.Error)
		if s.DeclaredError > 0 {
			o.metrics.runErrors.WithLabelValues(append(kind, "declared")...).Set(s.DeclaredError)
		}
	}
	if len(list) > 0 {
		o.logger.Info("run times", zap.Objects("kinds", loggedKinds(list)))
	}
}

// loggedKind is the entry of a kind of task in the log line on run times.
type loggedKind runtimes.Summary

func loggedKinds(list []runtimes.Summary) []loggedKind {
	kinds := make([]loggedKind, len(list))
	for i, s := range list {
		kinds[i] = loggedKind(s)
	}
	return kinds
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (k loggedKind) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if k.Key.Image != "" {
		e.AddString("image", k.Key.Image)
	} else {
		e.AddString("queue", k.Key.Queue)
		e.AddInt("step", k.Key.Step)
	}
	e.AddInt64("ends", k.Ends)
	e.AddInt64("failed", k.Failed)
	e.AddBool("predicted", k.Known)
	e.AddDuration("median", k.Median)
	e.AddDuration("tail", k.Tail)
	e.AddFloat64("declared_error", k.DeclaredError)
	e.AddFloat64("error", k.Error)
	return nil
}
