package entry

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestChoose(t *testing.T) {
	later := now.Add(time.Second)
	tests := []struct {
		name    string
		needs   Needs
		workers []*worker
		want    id.Instance
	}{
		{"least loaded", Needs{}, []*worker{{name: "a", dc: "home", slots: 8, running: 4, free: -1}, {name: "b", dc: "home", slots: 8, running: 3, free: -1}}, "b"},
		{"own data centre first", Needs{}, []*worker{{name: "a", dc: "far", slots: 8, free: -1}, {name: "b", dc: "home", slots: 8, running: 7, free: -1}}, "b"},
		{"far when home is full", Needs{}, []*worker{{name: "a", dc: "far", slots: 8, free: -1}, {name: "b", dc: "home", slots: 8, running: 8, free: -1}}, "a"},
		{"not one that is avoided", Needs{}, []*worker{{name: "a", dc: "home", slots: 8, free: -1, avoidUntil: later}, {name: "b", dc: "far", slots: 8, free: -1}}, "b"},
		{"not one that said it is full", Needs{}, []*worker{{name: "a", dc: "home", slots: 8, free: 0, fullUntil: later}, {name: "b", dc: "far", slots: 8, free: -1}}, "b"},
		{"accelerators are left alone", Needs{}, []*worker{{name: "a", dc: "home", slots: 8, accelerators: 2, free: -1}, {name: "b", dc: "far", slots: 8, running: 7, free: -1}}, "b"},
		{"accelerators when needed", Needs{Accelerators: 1}, []*worker{{name: "a", dc: "far", slots: 8, accelerators: 2, free: -1}, {name: "b", dc: "home", slots: 8, free: -1}}, "a"},
		{"none fits", Needs{MemoryBytes: 1}, []*worker{{name: "a", dc: "home", slots: 8, free: -1}}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Control{config: Config{DataCentre: "home"}}
			w, ok := c.choose(now, &pool{workers: tt.workers}, tt.needs)
			if ok != (tt.want != "") || ok && w.name != tt.want {
				t.Errorf("choose() = %v, want %q", w, tt.want)
			}
		})
	}
}

func TestFailingWorkerIsAvoidedAndRetried(t *testing.T) {
	w := &worker{name: "a", dc: "home", slots: 8, free: -1}
	for range failureLimit {
		w.recordOutcome(now, outcome{kind: answered, failed: true, free: -1})
	}
	if !now.Before(w.avoidUntil) {
		t.Fatal("the worker is not avoided")
	}
	c := &Control{config: Config{DataCentre: "home"}}
	p := &pool{workers: []*worker{w}}
	if _, ok := c.choose(now, p, Needs{}); ok {
		t.Error("the worker is chosen while it is avoided")
	}
	if _, ok := c.choose(now.Add(maxAvoidBackoff), p, Needs{}); !ok {
		t.Error("the worker is not tried again")
	}
}

func BenchmarkChoose(b *testing.B) {
	c := &Control{config: Config{DataCentre: "dc1"}}
	p := &pool{}
	for n := range 92 {
		p.workers = append(p.workers, &worker{
			name: id.Instance(fmt.Sprintf("w%d", n)), dc: id.DataCentre(fmt.Sprintf("dc%d", n%5)), slots: 8, running: n % 8, free: -1, rank: uint64(n * 7919),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.choose(now, p, Needs{})
	}
}
