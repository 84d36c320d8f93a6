package pool

import (
	"testing"
	"time"
)

// TestOwnersApart plays owners that still give orders, or whose orders leave late, while a successor has the pool and
// doesn't reach all workers.
func TestOwnersApart(t *testing.T) {
	apart := func(w *world, at time.Duration) {
		w.after(at, func() {
			w.owners[0].deaf = true
			w.owners[0].cutFrom["w0"], w.owners[0].cutFrom["w1"] = true, true
		})
		w.after(at+20*time.Millisecond, func() {
			successor := w.takeOver()
			successor.cutFrom["w2"], successor.cutFrom["w3"] = true, true
		})
		w.after(at+16*time.Second, func() { clear(w.owners[1].cutFrom) })
	}
	stalls := func(w *world, stall time.Duration) {
		w.after(1500*time.Millisecond, func() { w.owners[0].stall = stall })
		w.after(1600*time.Millisecond, func() { w.takeOver().cutFrom["w1"] = true })
		w.after(15*time.Second, func() { clear(w.owners[1].cutFrom) })
	}
	tests := []struct {
		name   string
		faults faults
		script func(w *world)
	}{
		{"the owner is cut off with some workers", faults{}, func(w *world) { apart(w, 1200*time.Millisecond) }},
		{"the owner is cut off with some workers, orders are late", faults{late: 0.1, lostAfter: 0.05}, func(w *world) { apart(w, 2300*time.Millisecond) }},
		{"the owner stands still for a second before it sends", faults{}, func(w *world) { stalls(w, time.Second) }},
		{"the owner stands still for long before it sends", faults{late: 0.05}, func(w *world) { stalls(w, 3900*time.Millisecond) }},
		{"the owner stands still for longer than a lease before it sends", faults{}, func(w *world) { stalls(w, 6*time.Second) }},
		{"the owner stands still again and again and stays", faults{lostAfter: 0.02}, func(w *world) {
			for i := range 5 {
				w.after(time.Duration(i)*time.Second, func() { w.owners[0].stall = time.Duration(w.random.IntN(5000)) * time.Millisecond })
				w.after(time.Duration(i)*time.Second+100*time.Millisecond, func() { w.owners[0].stall = 0 })
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(25) {
				play(t, seed, test.faults, test.script)
			}
		})
	}
}
