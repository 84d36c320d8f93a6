package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// retention is the retention time in these tests.
const retention = 2 * time.Minute

// endedJobRun plays the owners of a pool with one job that ends, in steps of time as an owner's control loop takes them.
type endedJobRun struct {
	now      time.Duration // steady time of all hosts
	clockOff time.Duration // what the time of day of the present owner's host is off
	pool     *Pool
	spec     job.Spec
	progress *job.Progress // in the log
	uptime   time.Duration // in the log
}

const (
	loopStep = 50 * time.Millisecond  // of the owner's loop
	slowStep = 250 * time.Millisecond // where an owner lacks processor time
	paused   = 0
)

func newEndedJobRun(clockOff time.Duration) *endedJobRun {
	spec := job.Spec{ID: "0000000000000001", Steps: []job.Step{{Count: 1}}}
	r := &endedJobRun{now: time.Hour, clockOff: clockOff, spec: spec}
	r.pool = New(Config{Name: "p", Retention: retention})
	r.pool.Restore(r.at(), nil)
	r.pool.Submit(r.at(), spec)
	return r
}

func (r *endedJobRun) at() Moment {
	return Moment{Steady: r.now, Wall: time.Unix(1_000_000, 0).Add(r.now + r.clockOff)}
}

// pass lets time pass while the owner has nothing to store, or one batch that has waited since a time. The owner is paused if its
// loop has no step.
func (r *endedJobRun) pass(d, step, writing time.Duration) {
	if step == paused {
		r.now += d
		return
	}
	for until := r.now + d; r.now < until; {
		r.now = min(until, r.now+step)
		wait := time.Duration(0)
		if writing > 0 {
			wait = r.now - writing
		}
		r.pool.CountUptime(r.at(), wait)
		r.pool.Tick(r.at())
	}
}

// end ends the job, and stores its end after a time.
func (r *endedJobRun) end(wait, step time.Duration) {
	r.pool.Cancel(r.at(), r.spec.ID)
	b := r.pool.Flush()
	r.pass(wait, step, r.now)
	r.progress = &b.Jobs[0].Progress
	r.pool.RecordStored(r.at(), b)
}

// storeUptime stores the uptime of the pool, and what else there is to store.
func (r *endedJobRun) storeUptime() {
	b := r.pool.Flush()
	if len(b.Jobs) > 0 {
		r.progress = &b.Jobs[0].Progress
	}
	r.uptime = r.pool.Uptime()
	r.pool.RecordStored(r.at(), b)
}

// takeOver replaces the owner by one on a host with another time of day, after a time without an owner.
func (r *endedJobRun) takeOver(downtime, clockOff time.Duration) {
	r.now += downtime
	r.clockOff = clockOff
	r.pool = New(Config{Name: "p", Retention: retention, Uptime: r.uptime})
	r.pool.Restore(r.at(), []StoredState{{Spec: r.spec, Progress: r.progress}})
}

func (r *endedJobRun) knows() bool {
	_, known := r.pool.State(r.spec.ID)
	return known
}

// checkKept checks that the job is known until its retention time is over, counted from a time, and not for much longer.
func (r *endedJobRun) checkKept(t *testing.T, since, longer time.Duration) {
	t.Helper()
	r.pass(since+retention-r.now, loopStep, 0)
	if !r.knows() {
		t.Error("the job is forgotten before its retention time is over")
	}
	r.pass(longer+countedWait+maxUptimeStep+time.Second, loopStep, 0)
	if r.knows() {
		t.Error("the job is kept for longer than owners leave uncounted")
	}
}

// TestEndedJobIsKeptWhateverTheTimeOfDay guards against review/7 (LOST): the age of an ended job was taken from two owners' times of
// day, so a job whose first owner's clock was behind was forgotten before its retention time was over.
func TestEndedJobIsKeptWhateverTheTimeOfDay(t *testing.T) {
	tests := []struct {
		name          string
		first, second time.Duration   // what the owners' times of day are off
		ages          []time.Duration // of the job, when it is handed to another owner
	}{
		{"no clock is off", 0, 0, []time.Duration{30 * time.Second}},
		{"the first clock is behind", -2 * time.Second, 0, []time.Duration{10 * time.Second}},
		{"the second clock is ahead", 0, 2 * time.Second, []time.Duration{118500 * time.Millisecond}},
		{"both are off by the most that the settings name", -5 * time.Second, 5 * time.Second, []time.Duration{115 * time.Second}},
		{"both are off by more, in steps that add up", -6 * time.Second, 6 * time.Second, []time.Duration{118500 * time.Millisecond}},
		{"the second clock is ahead by an hour", 0, time.Hour, []time.Duration{time.Second}},
		{"the first clock is ahead", 5 * time.Second, -5 * time.Second, []time.Duration{time.Second}},
		{"the first clock is ahead by an hour", time.Hour, 0, []time.Duration{time.Second}},
		{"many owners", -5 * time.Second, 5 * time.Second, []time.Duration{20 * time.Second, 60 * time.Second, 90 * time.Second, 119 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newEndedJobRun(test.first)
			r.pass(10*time.Second, loopStep, 0)
			r.end(10*time.Millisecond, loopStep)
			shown := r.now
			for _, age := range test.ages {
				r.pass(shown+age-r.now, loopStep, 0)
				r.storeUptime()
				r.takeOver(0, test.second)
			}
			r.checkKept(t, shown, 0)
		})
	}
}

// TestEndedJobIsKeptFromWhenItsEndIsShown checks that a job is known for its retention time after a caller could first be told of its
// end, which waits until the end is stored.
func TestEndedJobIsKeptFromWhenItsEndIsShown(t *testing.T) {
	tests := []struct {
		name       string
		wait, step time.Duration
		handover   bool
	}{
		{"the log is slow", 30 * time.Second, loopStep, false},
		{"the log is slow, another owner", 30 * time.Second, loopStep, true},
		{"the owner is slow, another owner", 900 * time.Millisecond, slowStep, true},
		{"the owner is paused meanwhile, another owner", 30 * time.Second, paused, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newEndedJobRun(0)
			r.pass(10*time.Second, loopStep, 0)
			r.end(test.wait, test.step)
			shown := r.now
			if test.handover {
				r.pass(time.Minute, loopStep, 0)
				r.storeUptime()
				r.takeOver(0, 0)
			}
			r.checkKept(t, shown, 0)
		})
	}
}

// TestUncountedTimeKeepsEndedJobsLonger checks that time that an owner has not stored, and time without an owner, does not shorten
// the retention time, and lengthens it by no more than itself.
func TestUncountedTimeKeepsEndedJobsLonger(t *testing.T) {
	const uncounted, downtime = 9 * time.Second, 20 * time.Second
	r := newEndedJobRun(0)
	r.pass(10*time.Second, loopStep, 0)
	r.end(10*time.Millisecond, loopStep)
	shown := r.now
	r.storeUptime()
	r.pass(uncounted, loopStep, 0)
	r.takeOver(downtime, 0)
	r.checkKept(t, shown, uncounted+downtime)
}

// TestEndStoredByAnEarlierVersionIsKept checks that a job whose end was stored with a time of day only is kept for its whole retention
// time by the next owner, and no longer by those that follow.
func TestEndStoredByAnEarlierVersionIsKept(t *testing.T) {
	r := newEndedJobRun(0)
	r.pass(10*time.Second, loopStep, 0)
	r.end(10*time.Millisecond, loopStep)
	r.progress.EndedAt = 0
	r.storeUptime()
	r.takeOver(0, time.Hour)
	restored := r.now
	for range 3 {
		r.pass(30*time.Second, loopStep, 0)
		r.storeUptime()
		r.takeOver(0, 0)
	}
	r.checkKept(t, restored, 0)
}
