package job

import "time"

// Progress is what is stored of a job beside its Spec: all that a successor must know to go on with it.
type Progress struct {
	State State              `cbor:"1,keyasint"`
	Ended time.Time          `cbor:"2,keyasint,omitzero"`
	Begun bool               `cbor:"3,keyasint,omitempty"`
	Parts []progressOfRepeat `cbor:"4,keyasint,omitempty"`
	Next  int                `cbor:"5,keyasint,omitempty"` // number of the next occurrence to become due
}

type progressOfRepeat struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Done   [][]byte // per step, one bit a task
	Tasks  []progressOfTask
}

// progressOfTask describes a task that is not done and has had a run.
type progressOfTask struct {
	_           struct{} `cbor:",toarray"`
	Step, Index int
	Run         int
	Failures    int
	Worker      string
	Checkpoint  string
	Leaving     bool
}

// Progress returns what is to be stored of the job now.
func (j *Job) Progress() Progress {
	p := Progress{State: j.State, Ended: j.Ended, Begun: j.Begun, Next: j.next}
	for _, o := range j.Occurrences {
		if part, changed := o.progress(); changed {
			p.Parts = append(p.Parts, part)
		}
	}
	return p
}

func (o *Occurrence) progress() (progressOfRepeat, bool) {
	part := progressOfRepeat{Number: o.Number, Done: make([][]byte, len(o.Steps))}
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
				part.Tasks = append(part.Tasks, progressOfTask{
					Step: s, Index: i, Run: t.Run, Failures: t.Failures, Worker: t.Worker, Checkpoint: t.Checkpoint, Leaving: t.Leaving,
				})
				changed = true
			}
		}
		part.Done[s] = bits
	}
	return part, changed
}

// Restore brings a new job to the progress that was stored of it.
func (j *Job) Restore(p Progress) {
	j.State, j.Ended, j.Begun = p.State, p.Ended, p.Begun
	for number := j.next; number < p.Next; number++ {
		j.open(number)
	}
	for _, part := range p.Parts {
		for _, o := range j.Occurrences {
			if o.Number == part.Number {
				j.restore(o, part)
			}
		}
	}
}

func (j *Job) restore(o *Occurrence, part progressOfRepeat) {
	for s := range o.Steps {
		if s >= len(part.Done) {
			break
		}
		for i := range o.Steps[s] {
			if i/8 < len(part.Done[s]) && part.Done[s][i/8]&(1<<(i%8)) != 0 {
				o.Steps[s][i].Done = true
				o.left[s]--
			}
		}
	}
	if o.remaining() == 0 {
		j.finished++
	}
	for _, stored := range part.Tasks {
		if stored.Step >= len(o.Steps) || stored.Index >= len(o.Steps[stored.Step]) {
			continue
		}
		t := &o.Steps[stored.Step][stored.Index]
		t.Run, t.Failures, t.Worker, t.Checkpoint = stored.Run, stored.Failures, stored.Worker, stored.Checkpoint
		t.Leaving = stored.Leaving
	}
}
