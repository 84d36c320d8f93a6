package outlier

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// recordTTL is how long the failures of a step are remembered, longer than an ejection.
const recordTTL = time.Minute

// stepKey names one occurrence of a step, whose tasks behave alike.
type stepKey struct {
	job              job.ID
	occurrence, step int
}

func keyOf(task job.Name) stepKey {
	return stepKey{job: task.Job, occurrence: task.Occurrence, step: task.Step}
}

// maxTasks is the number of tasks of one step whose failures on one worker are remembered.
const maxTasks = 64

// failure is the newest failure of a task on a worker.
type failure struct{ at, began time.Duration }

// stepRecord is what is known of a step of which tasks have failed.
type stepRecord struct {
	failures   map[string]map[int]failure // by worker and task
	done       map[int]string             // workers on which tasks that had failed have ended done, by task
	othersDone bool                       // tasks have ended done
	newest     time.Duration              // time of the newest failure
}

func (s *stepRecord) recordFailed(now time.Duration, r Run) {
	s.newest = now
	on, ok := s.failures[r.Worker]
	if !ok {
		on = map[int]failure{}
		s.failures[r.Worker] = on
	}
	if _, again := on[r.Task.Index]; again || len(on) < maxTasks {
		on[r.Task.Index] = failure{at: now, began: r.Began}
	}
}

func (s *stepRecord) recordDone(r Run) {
	s.othersDone = true
	for _, on := range s.failures {
		if _, failed := on[r.Task.Index]; failed {
			s.done[r.Task.Index] = r.Worker
			return
		}
	}
}

func (s *stepRecord) forget(worker string) { delete(s.failures, worker) }

// evidenceOf returns the evidence that the failures of one step are against a worker: failures that were the worker's own, since the
// same tasks have ended done elsewhere, and failures that nothing explains yet. What has also failed on another worker that is in use
// is no evidence. Tasks of a step of which none has ended done are one piece of evidence together.
func (d *Detector) evidenceOf(now time.Duration, s *stepRecord, name string, w *record) (own, unexplained int) {
	for task, f := range s.failures[name] {
		if !w.counts(now, f) {
			continue
		}
		switch by, done := s.done[task]; {
		case done && by != name:
			own++
		case f.began > w.doneBegan || w.doneBegan == 0:
			unexplained++
		}
	}
	switch {
	case unexplained == 0:
	case d.failsElsewhere(s, name):
		unexplained = 0
	case !s.othersDone:
		unexplained = 1
	}
	return own, unexplained
}

// counts reports whether a failure on the worker is evidence by its age.
func (w *record) counts(now time.Duration, f failure) bool {
	return f.began >= w.since && (w.state == Ejected || now-f.at < evidenceTTL)
}

// failsElsewhere reports whether tasks of a step have failed on another worker, which is not ejected.
func (d *Detector) failsElsewhere(s *stepRecord, name string) bool {
	for other := range s.failures {
		if w, ok := d.workers[other]; other != name && (!ok || w.state != Ejected) {
			return true
		}
	}
	return false
}

// sweep drops the steps whose newest failures are older than recordTTL.
func (d *Detector) sweep(now time.Duration) {
	if now-d.swept < evidenceTTL {
		return
	}
	d.swept = now
	for key, s := range d.steps {
		if now-s.newest >= recordTTL {
			delete(d.steps, key)
		}
	}
}
