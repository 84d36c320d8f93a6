package pool

import (
	"errors"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// memoryJob returns a job of a team with a number of tasks.
func memoryJob(id job.ID, team string, tasks int) job.Spec {
	return job.Spec{ID: id, Team: team, Steps: []job.Step{{Count: tasks, CPU: 100, Estimate: time.Second}}}
}

// admitAll submits jobs with consecutive IDs until one is rejected, and returns how many were accepted.
func admitAll(t *testing.T, p *Pool, at Moment, team string, tasks, most int) int {
	t.Helper()
	for n := range most {
		spec := memoryJob(job.ID(team+string(rune('a'+n/26))+string(rune('a'+n%26))), team, tasks)
		err := p.Admit(at, &spec)
		var overloaded OverloadedError
		if errors.As(err, &overloaded) {
			if overloaded.Reason != admission.MemoryFull || overloaded.Wait < time.Second {
				t.Errorf("rejected with %+v, want memory full and a wait of 1 s at least", overloaded)
			}
			return n
		}
		p.Submit(at, spec)
	}
	return most
}

// TestJobsStayWithinTheMemoryOfThePool guards against jobs of legal size that exhaust the memory of their owner, and against one team
// whose jobs keep out those of others.
func TestJobsStayWithinTheMemoryOfThePool(t *testing.T) {
	const tasks, most = 100, 400
	spec := memoryJob("x", "red", tasks)
	size := spec.MemoryBytes()
	limit := 90 * size
	tests := []struct {
		name  string
		team  string
		least int
	}{
		{"a team that takes all it can get has two thirds", "red", 60},
		{"the next team has two thirds of the rest", "blue", 20},
		{"a third team is accepted, too", "green", 6},
	}
	p := New(Config{Name: "p", Retention: time.Minute})
	p.SetMemoryLimit(limit)
	at := Moment{Steady: time.Second}
	for _, test := range tests {
		if got := admitAll(t, p, at, test.team, tasks, most); got < test.least || got == most {
			t.Errorf("%s: %d jobs were accepted, want %d at least and not all", test.name, got, test.least)
		}
	}
	if p.MemoryBytes() > limit {
		t.Errorf("%d bytes are used, the limit is %d", p.MemoryBytes(), limit)
	}
	if known := memoryJob("redaa", "red", tasks); p.Admit(at, &known) != nil {
		t.Error("a job that the pool has is rejected")
	}
}

// TestAnyJobFitsAnEmptyPool guards against a job of legal size that is rejected in calm.
func TestAnyJobFitsAnEmptyPool(t *testing.T) {
	p := New(Config{Name: "p", Retention: time.Minute})
	p.SetMemoryLimit(1)
	spec := memoryJob("x", "red", 20_000)
	if err := p.Admit(Moment{Steady: time.Second}, &spec); err != nil {
		t.Errorf("a job is rejected by an empty pool: %v", err)
	}
}

// TestEndedJobsFreeTheirTasks guards against memory that ended jobs hold until their retention time is over, at the owner and at a
// successor, and against memory that is counted after it.
func TestEndedJobsFreeTheirTasks(t *testing.T) {
	const tasks = 1_000
	p := New(Config{Name: "p", Retention: time.Minute})
	at := Moment{Steady: time.Second}
	spec := memoryJob("x", "red", tasks)
	spec.Payload = "payload"
	p.Submit(at, spec)
	if got, want := p.MemoryBytes(), spec.MemoryBytes(); got != want {
		t.Errorf("%d bytes are counted for a job, want %d", got, want)
	}
	p.Cancel(at, spec.ID)
	p.Tick(at)
	if got, want := p.MemoryBytes(), spec.MemoryBytes(); got != want {
		t.Errorf("%d bytes are counted before the end is stored, want %d", got, want)
	}
	batch := p.Flush()
	p.RecordStored(at, batch)
	p.Tick(at)
	if got, want := p.MemoryBytes(), spec.ReleasedBytes(); got != want {
		t.Errorf("%d bytes are counted after the end, want %d", got, want)
	}
	if state, known := p.State(spec.ID); !known || state != job.Cancelled {
		t.Errorf("the state is %v (%v) after the end, want cancelled", state, known)
	}
	successor := New(Config{Name: "p", Retention: time.Minute})
	successor.Restore(at, []StoredState{{Spec: spec, Progress: &batch.Jobs[0].Progress}})
	if got, want := successor.MemoryBytes(), spec.ReleasedBytes(); got != want {
		t.Errorf("%d bytes are counted at a successor, want %d", got, want)
	}
	at.Steady += 2 * time.Minute
	p.Tick(at)
	if got := p.MemoryBytes(); got != 0 {
		t.Errorf("%d bytes are counted after the retention time, want none", got)
	}
}

// TestCancellationsOfUnknownJobsAreBounded guards against clients that cancel jobs that nobody has.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	const kept = 10
	p := New(Config{Name: "p", Retention: time.Minute})
	p.SetMemoryLimit(kept * CancellationBytes * cancellationShare)
	at := Moment{Steady: time.Second}
	p.Submit(at, memoryJob("known", "red", 1))
	for n := range kept {
		name := job.ID(rune('a' + n))
		if err := p.AdmitCancellation(name); err != nil {
			t.Errorf("cancellation %d is rejected: %v", n, err)
		}
		p.Cancel(at, name)
	}
	var overloaded OverloadedError
	if err := p.AdmitCancellation("z"); !errors.As(err, &overloaded) {
		t.Errorf("one more cancellation of an unknown job: %v, want an OverloadedError", err)
	}
	for _, name := range []job.ID{"known", "a"} {
		if err := p.AdmitCancellation(name); err != nil {
			t.Errorf("the cancellation of %s is rejected: %v", name, err)
		}
	}
	at.Steady += 2 * time.Minute
	p.Tick(at)
	if err := p.AdmitCancellation("z"); err != nil {
		t.Errorf("a cancellation is rejected after the retention time of the others: %v", err)
	}
}

// TestMemoryLimitBesideOtherPools guards against pools of one instance that together take more than half of its memory, and against a limit
// that means none.
func TestMemoryLimitBesideOtherPools(t *testing.T) {
	tests := []struct {
		name           string
		memory, others int64
		want           int64
	}{
		{"the memory is not known", 0, 100, 0},
		{"alone", 600, 0, 100},
		{"beside some", 600, 200, 100},
		{"beside many", 600, 260, 40},
		{"beside more than the instance may accept", 600, 400, 1},
	}
	for _, test := range tests {
		if got := MemoryLimitBeside(test.memory, test.others); got != test.want {
			t.Errorf("%s: %d bytes, want %d", test.name, got, test.want)
		}
	}
}
