package job

// Presence tells whether a pool has a job.
type Presence int

// What a pool may know of a job.
const (
	Absent    Presence = iota
	Present            // the pool has the job, and no other has it
	Forwarded          // the pool hands the job to another one, will do so, or may have done so
	Tombstone          // the pool keeps a cancellation of the job, which may be elsewhere or come later
)

// Known reports whether a job was submitted to the pool.
func (p Presence) Known() bool { return p == Present || p == Forwarded }

// String returns the name of the answer.
func (p Presence) String() string {
	return [...]string{"absent", "present", "forwarded", "tombstone"}[p]
}
