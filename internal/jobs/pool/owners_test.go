package pool

import (
	"testing"
	"time"
)

// TestConcurrentOwners runs owners that still send orders, or whose orders are sent late, while a successor owns the
// pool and cannot reach all workers.
func TestConcurrentOwners(t *testing.T) {
	partition := func(w *simulation, at time.Duration) {
		w.after(at, func() {
			w.owners[0].logUnreachable = true
			w.owners[0].unreachable["w0"], w.owners[0].unreachable["w1"] = true, true
		})
		w.after(at+20*time.Millisecond, func() {
			successor := w.takeOver()
			successor.unreachable["w2"], successor.unreachable["w3"] = true, true
		})
		w.after(at+16*time.Second, func() { clear(w.owners[1].unreachable) })
	}
	delaySends := func(w *simulation, stall time.Duration) {
		w.after(1500*time.Millisecond, func() { w.owners[0].sendDelay = stall })
		w.after(1600*time.Millisecond, func() { w.takeOver().unreachable["w1"] = true })
		w.after(15*time.Second, func() { clear(w.owners[1].unreachable) })
	}
	tests := []struct {
		name   string
		faults faults
		script func(w *simulation)
	}{
		{"the owner is cut off with some workers", faults{}, func(w *simulation) { partition(w, 1200*time.Millisecond) }},
		{"the owner is cut off with some workers, orders are late", faults{late: 0.1, lostAfter: 0.05}, func(w *simulation) { partition(w, 2300*time.Millisecond) }},
		{"the owner stands still for a second before it sends", faults{}, func(w *simulation) { delaySends(w, time.Second) }},
		{"the owner stands still for long before it sends", faults{late: 0.05}, func(w *simulation) { delaySends(w, 3900*time.Millisecond) }},
		{"the owner stands still for longer than a lease before it sends", faults{}, func(w *simulation) { delaySends(w, 6*time.Second) }},
		{"the owner stands still again and again and stays", faults{lostAfter: 0.02}, func(w *simulation) {
			for i := range 5 {
				w.after(time.Duration(i)*time.Second, func() { w.owners[0].sendDelay = time.Duration(w.random.IntN(5000)) * time.Millisecond })
				w.after(time.Duration(i)*time.Second+100*time.Millisecond, func() { w.owners[0].sendDelay = 0 })
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(25) {
				simulate(t, seed, test.faults, test.script)
			}
		})
	}
}
