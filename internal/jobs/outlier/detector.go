package outlier

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Limits of ejections.
const (
	evidenceLimit     = 3 // pieces of evidence that eject a worker
	maxDonePerFailure = 3 // a worker with more done runs for each failure that was the worker's own stays in use
	maxEjectedDivisor = 2 // at most this part of the workers is ejected at the same time
	evidenceTTL       = 10 * time.Second
	initialEjection   = 2 * time.Second
	maxEjection       = 30 * time.Second
	maxDoublings      = 4
	maxProbing        = 30 * time.Second // without evidence, after which a worker is healthy again
)

// Run is a run that has ended.
type Run struct {
	Task   job.Name
	Worker string
	Began  time.Duration // steady time of its order, 0 if an earlier owner ordered it
}

// State tells what work a worker may get.
type State int

// States of a worker.
const (
	Healthy State = iota
	Ejected       // no new work
	Probing       // its ejection is over: a run at a time, until one ends done
)

// String returns the state's name.
func (s State) String() string { return [...]string{"healthy", "ejected", "probing"}[s] }

// Change is a change of a worker's state.
type Change struct {
	Worker string
	State  State
}

// record is what is known of a worker that has failed runs.
type record struct {
	state     State
	until     time.Duration // end of the ejection
	since     time.Duration // runs that began earlier are not evidence
	doneBegan time.Duration // newest begin of a run that has ended done
	suspected bool          // there is evidence
	oldest    time.Duration // begin of the first run that was evidence
	done      int           // runs that have begun since then and ended done
	ejections int           // in a row
	steps     map[stepKey]struct{}
}

// Detector finds the workers of one pool that fail what they start.
type Detector struct {
	workers   map[string]*record
	steps     map[stepKey]*stepRecord
	size      int
	unhealthy int // workers that are ejected or probing
	changes   []Change
	swept     time.Duration
}

// New returns a detector that knows of no failures.
func New() *Detector {
	return &Detector{workers: map[string]*record{}, steps: map[stepKey]*stepRecord{}}
}

// SetSize sets the number of workers of the pool, which bounds how many of them may be ejected.
func (d *Detector) SetSize(workers int) { d.size = workers }

// Forget drops what is known of a worker, which has gone or has started anew.
func (d *Detector) Forget(worker string) {
	if w, ok := d.workers[worker]; ok && w.state != Healthy {
		d.unhealthy--
	}
	delete(d.workers, worker)
	for _, s := range d.steps {
		s.forget(worker)
	}
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// State returns the state of a worker, and the steady time since which it is probing.
func (d *Detector) State(now time.Duration, worker string) (State, time.Duration) {
	if d.unhealthy == 0 {
		return Healthy, 0 // asked for each worker in each round
	}
	w, ok := d.workers[worker]
	if !ok {
		return Healthy, 0
	}
	d.advance(now, worker, w)
	return w.state, w.since
}

// FailedAt returns the steady time at which a task last failed on a worker, and reports whether it lately has.
func (d *Detector) FailedAt(task job.Name, worker string) (time.Duration, bool) {
	s, ok := d.steps[keyOf(task)]
	if !ok {
		return 0, false
	}
	f, failed := s.failures[worker][task.Index]
	return f.at, failed
}

// RecordFailed records a run that has ended failed. othersDone tells that tasks of its step have ended done.
func (d *Detector) RecordFailed(now time.Duration, r Run, othersDone bool) {
	d.sweep(now)
	key := keyOf(r.Task)
	s, ok := d.steps[key]
	if !ok {
		s = &stepRecord{failures: map[string]map[int]failure{}, done: map[int]string{}}
		d.steps[key] = s
	}
	s.othersDone = s.othersDone || othersDone
	s.recordFailed(now, r)
	w, ok := d.workers[r.Worker]
	if !ok {
		w = &record{steps: map[stepKey]struct{}{}}
		d.workers[r.Worker] = w
	}
	w.steps[key] = struct{}{}
	if !w.suspected {
		w.suspected, w.oldest, w.done = true, r.Began, 0
	}
	d.reconsiderStep(now, s)
}

// RecordDone records a run that has ended done.
func (d *Detector) RecordDone(now time.Duration, r Run) {
	if w, ok := d.workers[r.Worker]; ok {
		d.advance(now, r.Worker, w)
		if r.Began >= w.oldest {
			w.done++
		}
		w.doneBegan = max(w.doneBegan, r.Began)
		if w.state == Probing && r.Began >= w.since {
			d.recover(r.Worker, w)
		}
		d.reconsider(now, r.Worker, w)
	}
	if s, ok := d.steps[keyOf(r.Task)]; ok {
		s.recordDone(r)
		d.reconsiderStep(now, s)
	}
}

// advance ends an ejection whose time is over, and a probing without evidence.
func (d *Detector) advance(now time.Duration, name string, w *record) {
	switch {
	case w.state == Ejected && now >= w.until:
		w.since, w.suspected = now, false
		d.setState(name, w, Probing)
	case w.state == Probing && now >= w.since+maxProbing:
		d.recover(name, w)
	}
}

func (d *Detector) recover(name string, w *record) {
	w.ejections = 0
	d.setState(name, w, Healthy)
}

func (d *Detector) setState(name string, w *record, s State) {
	if w.state == Healthy {
		d.unhealthy++
	}
	if s == Healthy {
		d.unhealthy--
	}
	w.state = s
	d.changes = append(d.changes, Change{Worker: name, State: s})
}

// reconsiderStep reconsiders all workers on which tasks of a step have failed.
func (d *Detector) reconsiderStep(now time.Duration, s *stepRecord) {
	for name := range s.failures {
		if w, ok := d.workers[name]; ok {
			d.reconsider(now, name, w)
		}
	}
}

// reconsider ejects a worker if there is enough evidence against it, and ends its ejection if there no longer is.
func (d *Detector) reconsider(now time.Duration, name string, w *record) {
	d.advance(now, name, w)
	isOutlier := d.evidence(now, name, w) >= w.limit()
	switch {
	case isOutlier && w.state != Ejected && d.mayEject():
		w.until = now + min(maxEjection, initialEjection<<min(w.ejections, maxDoublings))
		w.ejections++
		d.setState(name, w, Ejected)
	case !isOutlier && w.state == Ejected:
		w.ejections--
		d.setState(name, w, w.stateWithout())
	}
}

// limit returns how much evidence ejects the worker. After an ejection the first failure does.
func (w *record) limit() int {
	if w.state == Probing || w.ejections > 1 {
		return 1
	}
	return evidenceLimit
}

// stateWithout returns the state of a worker whose newest ejection was wrong.
func (w *record) stateWithout() State {
	if w.ejections > 0 {
		return Probing
	}
	return Healthy
}

// mayEject reports whether one more worker may be ejected.
func (d *Detector) mayEject() bool {
	if d.size < 2 {
		return false
	}
	ejected := 0
	for _, w := range d.workers {
		if w.state == Ejected {
			ejected++
		}
	}
	return ejected < max(1, d.size/maxEjectedDivisor)
}

// evidence returns how many pieces of evidence there are against a worker.
func (d *Detector) evidence(now time.Duration, name string, w *record) int {
	own, unexplained := 0, 0
	for key := range w.steps {
		s, ok := d.steps[key]
		if !ok {
			delete(w.steps, key)
			continue
		}
		if w.state != Ejected && now-s.newest >= evidenceTTL {
			delete(w.steps, key)
			continue
		}
		o, u := d.evidenceOf(now, s, name, w)
		own += o
		unexplained += u
	}
	if own+unexplained == 0 && w.state != Ejected {
		w.suspected = false
	}
	if w.done > maxDonePerFailure*own {
		own = 0
	}
	return own + unexplained
}
