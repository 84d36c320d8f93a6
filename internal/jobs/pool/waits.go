package pool

import "time"

// Waits tells what the first run of a task has waited for, from the time at which its turn had come.
type Waits struct {
	Owner time.Duration // until a round of placing took it up
	Room  time.Duration // until a worker was chosen
	Log   time.Duration // until the log had it
	Order time.Duration // until the worker's answer was taken in
}

// waitsOf returns the waits of a run that a worker has just confirmed.
func waitsOf(at Moment, r *run) Waits {
	return Waits{
		Owner: r.tried - r.ready, Room: r.chosen - r.tried, Log: r.ordered - r.chosen, Order: at.Steady - r.ordered,
	}
}

// TakeWaits returns how many first runs workers have confirmed since the last call, and what these waited for together.
func (p *Pool) TakeWaits() (begun int, together Waits) {
	begun, together = p.begun, p.waits
	p.begun, p.waits = 0, Waits{}
	return begun, together
}

// noteBegun notes what the first run of a task has waited for.
func (p *Pool) noteBegun(at Moment, r *run) {
	w := waitsOf(at, r)
	p.begun++
	p.waits.Owner += w.Owner
	p.waits.Room += w.Room
	p.waits.Log += w.Log
	p.waits.Order += w.Order
	p.config.Observer.Begun(&r.job.job.Spec, w)
}

// turn is when the tasks of a step could start, and when a round of placing first took them up.
type turn struct{ ready, tried time.Duration }

// turnOf returns the turn of a step, which a round of placing takes up now if none has before.
func (e *entry) turnOf(at Moment, occurrence, step int) turn {
	key := [2]int{occurrence, step}
	t, ok := e.turns[key]
	if !ok {
		t = turn{ready: e.ready, tried: at.Steady}
		e.turns[key] = t
	}
	return t
}
