package job

// Estimated sizes in memory, in bytes, with the tables that a pool keeps for each.
const (
	jobBytes   = 700
	stepBytes  = 180
	taskBytes  = 320
	indexBytes = 8
)

// MemoryBytes estimates the memory that a job needs at the owner of its pool until it is released, in bytes.
func (s *Spec) MemoryBytes() int64 {
	occurrences := int64(max(1, s.Times))
	return s.ReleasedBytes() + int64(len(s.Payload)) + taskBytes*int64(s.tasks())*occurrences
}

// ReleasedBytes estimates the memory that a job needs once it is released, in bytes.
func (s *Spec) ReleasedBytes() int64 {
	sum := int64(jobBytes)
	for i := range s.Steps {
		step := &s.Steps[i]
		sum += stepBytes + int64(len(step.Label)+len(step.Rack)+len(step.Image)) + indexBytes*int64(len(step.After))
	}
	return sum
}

// Release frees what only an unfinished job needs: its tasks and its payload. No run of an ended job's tasks may exist any more.
func (j *Job) Release() {
	j.Occurrences = nil
	j.Spec.Payload = ""
}

// HasTask reports whether a name is that of a task of the job.
func (s *Spec) HasTask(n Name) bool {
	return n.Occurrence >= 0 && n.Occurrence < max(1, s.Times) && n.Step >= 0 && n.Step < len(s.Steps) && n.Index >= 0 && n.Index < s.Steps[n.Step].Count
}

// HasRuns reports whether a run of a task exists or may exist.
func (j *Job) HasRuns() bool {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				if t := &o.Steps[s][i]; t.Placed() || t.Strays > 0 {
					return true
				}
			}
		}
	}
	return false
}

// IsReleasable reports whether the stored progress is that of an ended job of which no run can exist, so that a successor needs no
// tasks of it.
func (p *Progress) IsReleasable() bool {
	if !p.State.Ended() {
		return false
	}
	for _, o := range p.Occurrences {
		for _, t := range o.Tasks {
			if t.Worker != "" {
				return false
			}
		}
	}
	return true
}

// NewReleased returns an ended job, as its progress was stored, without its tasks and its payload.
func NewReleased(spec Spec, p Progress) *Job {
	spec.Payload = ""
	return &Job{Spec: spec, State: p.State, Ended: p.Ended, EndedAt: p.EndedAt, Begun: p.Begun, next: p.Next}
}
