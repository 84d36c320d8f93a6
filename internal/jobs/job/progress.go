package job

import "time"

// Progress is the stored state of a job beside its Spec: all that a successor needs to continue the job.
type Progress struct {
	State       State                `cbor:"1,keyasint"`
	Ended       time.Time            `cbor:"2,keyasint,omitzero"`
	Begun       bool                 `cbor:"3,keyasint,omitempty"`
	Occurrences []occurrenceProgress `cbor:"4,keyasint,omitempty"`
	Next        int                  `cbor:"5,keyasint,omitempty"` // number of the next occurrence to become due
	Crashes     []crashProgress      `cbor:"6,keyasint,omitempty"`
	EndedAt     time.Duration        `cbor:"7,keyasint,omitempty"`
	Starts      []startProgress      `cbor:"8,keyasint,omitempty"`
}

// startProgress tells for which incarnation of its worker the latest run of a placed task was ordered.
type startProgress struct {
	_           struct{} `cbor:",toarray"`
	Occurrence  int
	Step, Index int
	WorkerStart int64 // in Unix milliseconds
	UsualLease  bool
}

// crashProgress describes a task that is not done and under which workers have crashed, or may have.
type crashProgress struct {
	Occurrence int         `cbor:"1,keyasint,omitempty"`
	Step       int         `cbor:"2,keyasint,omitempty"`
	Index      int         `cbor:"3,keyasint,omitempty"`
	Record     CrashRecord `cbor:"4,keyasint"`
}

type occurrenceProgress struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Done   [][]byte // by step, one bit per task
	Tasks  []taskProgress
}

// taskProgress describes a task that is not done and has had a run.
type taskProgress struct {
	_           struct{} `cbor:",toarray"`
	Step, Index int
	Run         int
	Failures    int
	Worker      string
	Checkpoint  string
	Leaving     bool
}

// Progress returns the current progress of the job, to be stored.
func (j *Job) Progress() Progress {
	p := Progress{State: j.State, Ended: j.Ended, EndedAt: j.EndedAt, Begun: j.Begun, Next: j.next}
	for _, o := range j.Occurrences {
		if progress, changed := o.progress(); changed {
			p.Occurrences = append(p.Occurrences, progress)
		}
		p.Crashes = append(p.Crashes, o.crashes()...)
		p.Starts = append(p.Starts, o.starts()...)
	}
	return p
}

func (o *Occurrence) starts() []startProgress {
	var list []startProgress
	for s := range o.Steps {
		for i := range o.Steps[s] {
			if t := &o.Steps[s][i]; !t.Done && t.Placed() && !t.WorkerStart.IsZero() {
				list = append(list, startProgress{Occurrence: o.Number, Step: s, Index: i, WorkerStart: t.WorkerStart.UnixMilli(), UsualLease: t.UsualLease})
			}
		}
	}
	return list
}

func (o *Occurrence) crashes() []crashProgress {
	var list []crashProgress
	for s := range o.Steps {
		for i := range o.Steps[s] {
			if t := &o.Steps[s][i]; !t.Done && !t.Crash.Empty() {
				list = append(list, crashProgress{Occurrence: o.Number, Step: s, Index: i, Record: t.Crash})
			}
		}
	}
	return list
}

func (o *Occurrence) progress() (occurrenceProgress, bool) {
	progress := occurrenceProgress{Number: o.Number, Done: make([][]byte, len(o.Steps))}
	changed := false
	for s := range o.Steps {
		bits := make([]byte, (len(o.Steps[s])+7)/8)
		for i := range o.Steps[s] {
			t := &o.Steps[s][i]
			switch {
			case t.Done:
				bits[i/8] |= 1 << (i % 8)
				changed = true
			case t.Run > 0:
				progress.Tasks = append(progress.Tasks, taskProgress{
					Step: s, Index: i, Run: t.Run, Failures: t.Failures, Worker: t.Worker, Checkpoint: t.Checkpoint, Leaving: t.Leaving,
				})
				changed = true
			}
		}
		progress.Done[s] = bits
	}
	return progress, changed
}

// Restore applies stored progress to a new job.
func (j *Job) Restore(p Progress) {
	j.State, j.Ended, j.EndedAt, j.Begun = p.State, p.Ended, p.EndedAt, p.Begun
	for number := j.next; number < p.Next; number++ {
		j.open(number)
	}
	for _, progress := range p.Occurrences {
		for _, o := range j.Occurrences {
			if o.Number == progress.Number {
				j.restore(o, progress)
			}
		}
	}
	for _, c := range p.Crashes {
		if t := j.Task(Name{Job: j.Spec.ID, Occurrence: c.Occurrence, Step: c.Step, Index: c.Index}); t != nil {
			t.Crash = c.Record
		}
	}
	for _, start := range p.Starts {
		if t := j.Task(Name{Job: j.Spec.ID, Occurrence: start.Occurrence, Step: start.Step, Index: start.Index}); t != nil {
			t.WorkerStart, t.UsualLease = time.UnixMilli(start.WorkerStart), start.UsualLease
		}
	}
}

func (j *Job) restore(o *Occurrence, progress occurrenceProgress) {
	for s := range o.Steps {
		if s >= len(progress.Done) {
			break
		}
		for i := range o.Steps[s] {
			if i/8 < len(progress.Done[s]) && progress.Done[s][i/8]&(1<<(i%8)) != 0 {
				o.Steps[s][i].Done = true
				o.left[s]--
			}
		}
	}
	if o.remaining() == 0 {
		j.finishedOccurrences++
	}
	for _, stored := range progress.Tasks {
		if stored.Step < 0 || stored.Step >= len(o.Steps) || stored.Index < 0 || stored.Index >= len(o.Steps[stored.Step]) {
			continue
		}
		t := &o.Steps[stored.Step][stored.Index]
		t.Run, t.Failures, t.Worker, t.Checkpoint = stored.Run, stored.Failures, stored.Worker, stored.Checkpoint
		t.Leaving = stored.Leaving
	}
}
