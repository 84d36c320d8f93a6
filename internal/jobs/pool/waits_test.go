package pool

import (
	"net/netip"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// startObserver records the waits of first runs.
type startObserver struct {
	noopObserver
	waits []Waits
}

func (o *startObserver) RunBegun(_ *job.Spec, w Waits) { o.waits = append(o.waits, w) }

// TestWaitsByCause starts one task with a delay at each stage and checks to which cause each delay is attributed.
func TestWaitsByCause(t *testing.T) {
	tests := []struct {
		name                            string
		first, chosen, stored, answered time.Duration // ms after submission: first round, choice of a worker, log, answer
		want                            Waits
	}{
		{"nothing", 0, 0, 0, 0, Waits{}},
		{"a late round", 30, 30, 30, 30, Waits{Owner: 30}},
		{"no capacity", 10, 500, 500, 500, Waits{Owner: 10, Capacity: 490}},
		{"a slow log", 0, 0, 300, 300, Waits{Log: 300}},
		{"a slow worker", 0, 0, 10, 700, Waits{Log: 10, Order: 690}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := &startObserver{}
			p := New(Config{Name: "p", Fence: 1, Lease: 4 * time.Second, Retention: time.Minute, Observer: seen})
			at := func(after time.Duration) Moment {
				passed := after * time.Millisecond
				return Moment{Steady: time.Hour + passed, Wall: time.Unix(1_000_000, 0).Add(passed)}
			}
			info := catalog.Worker{ID: "w", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: catalog.Resources{CPU: 1000}}
			p.SetWorkers(at(0), []catalog.Worker{info})
			p.RecordPoll(at(0), PollAction{To: worker.Target{ID: "w"}}, worker.Report{}, nil)
			spec := job.Spec{ID: "00000000000000aa", Accepted: at(0).Wall, Steps: []job.Step{{Count: 1, CPU: 800, Estimate: time.Second}}}
			p.Submit(at(0), spec)
			if test.chosen > test.first {
				p.workers["w"].used.CPU = 500
				p.Place(at(test.first))
				p.workers["w"].used.CPU = 0
			}
			p.Place(at(test.chosen))
			p.RecordStored(at(test.stored), p.Flush())
			p.SendStarts(at(test.stored))
			for _, a := range p.Actions() {
				if start, ok := a.(StartAction); ok {
					p.RecordStart(at(test.answered), start, worker.Reply{Clock: time.Second}, nil)
				}
			}
			want := Waits{
				Owner: test.want.Owner * time.Millisecond, Capacity: test.want.Capacity * time.Millisecond,
				Log: test.want.Log * time.Millisecond, Order: test.want.Order * time.Millisecond,
			}
			if len(seen.waits) != 1 || seen.waits[0] != want {
				t.Errorf("waits %v, want %v once", seen.waits, want)
			}
			if begun, sum := p.TakeWaits(); begun != 1 || sum != want {
				t.Errorf("TakeWaits: %d runs, sum %v, want 1 run and %v", begun, sum, want)
			}
		})
	}
}
