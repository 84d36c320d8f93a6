package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// TestEndsOfNewIncarnationAreNotAcknowledgedUnseen restarts an idle worker under its id without the owner noticing. The
// poll sent along with its next start is carried out late, when the run has ended done and no answer has arrived. The
// end must not be acknowledged by that poll.
func TestEndsOfNewIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	for seed := range uint64(60) {
		w := newSimulation(seed, 1)
		w.entryDelay = 20 * time.Second
		w.takeOver()
		w.run(time.Second)
		w.submit("0000000000000001", shortJob(4))
		w.run(20 * time.Second)
		if left := w.unfinished(); len(left) > 0 {
			t.Fatalf("seed %d: %v are not done", seed, left)
		}
		w.kill("w0")
		w.restart("w0")
		w.run(21 * time.Second)
		w.faults = faults{late: 0.5, lostAfter: 0.5}
		spec := shortJob(1)
		spec.Steps[0].Estimate = 200 * time.Millisecond
		w.submit("0000000000000002", spec)
		w.run(21015 * time.Millisecond)
		w.faults = faults{lostAfter: 1}
		w.run(24500 * time.Millisecond)
		w.faults = faults{}
		w.run(60 * time.Second)
		if left := w.unfinished(); len(left) > 0 {
			t.Errorf("seed %d: %v are not done", seed, left)
		}
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %v", seed, w.violations)
		}
	}
}

// TestStartAnswerRevealsNewIncarnation restarts a worker under its id without the owner noticing, so soon that its
// clock does not reveal the restart.
func TestStartAnswerRevealsNewIncarnation(t *testing.T) {
	w := newSimulation(1, 1)
	w.entryDelay = 20 * time.Second
	o := w.takeOver()
	w.run(2 * time.Second)
	w.kill("w0")
	w.restart("w0")
	w.run(2100 * time.Millisecond)
	w.submit("0000000000000001", shortJob(1))
	w.run(2200 * time.Millisecond)
	h, startedAt := o.pool.workers["w0"], w.workers["w0"].incarnationStart
	if len(h.runs) != 1 || !h.startedAt.Equal(startedAt) {
		t.Errorf("%d runs, want 1; incarnation began at %v, recorded as %v", len(h.runs), startedAt, h.startedAt)
	}
}

// TestStopAnswerOfEarlierIncarnationIsIgnored delivers the answer to a stop late, from the incarnation before the known
// one.
func TestStopAnswerOfEarlierIncarnationIsIgnored(t *testing.T) {
	w := newSimulation(1, 1)
	o := w.takeOver()
	w.run(2 * time.Second)
	w.submit("0000000000000001", shortJob(1))
	w.run(2200 * time.Millisecond)
	h, before := o.pool.workers["w0"], w.workers["w0"].reply()
	for _, r := range h.runs {
		o.pool.stop(w.moment(), r)
		o.pool.RecordPoll(w.moment(), PollAction{To: h.target()}, worker.Report{Reply: worker.Reply{Clock: time.Second, StartedAt: before.StartedAt.Add(time.Second)}}, nil)
		o.pool.RecordStop(w.moment(), StopAction{To: h.target(), Run: r.id}, before, nil)
		if r.phase != stopping {
			t.Errorf("phase %d after the stop answer of an earlier incarnation, want stopping", r.phase)
		}
	}
	if len(h.runs) != 1 {
		t.Errorf("%d runs are left, want 1", len(h.runs))
	}
}
