package reservation

import "time"

// Standing is what a Table knows of a job that comes: None, Early, Due or Missed.
type Standing interface{ isStanding() }

// None says that the table does not know the job.
type None struct{}

// Early says that the job came before its return time, which does not change.
type Early struct{ At time.Duration }

// Due says that the job came at its return time or within the grace after it.
type Due struct{ Job Job }

// Missed says that the job has no return time any more, since it came too late, or never had one. It counts as new, but
// keeps its first arrival.
type Missed struct{ Job Job }

func (None) isStanding()   {}
func (Early) isStanding()  {}
func (Due) isStanding()    {}
func (Missed) isStanding() {}
