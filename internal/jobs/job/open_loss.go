package job

import "slices"

// maxOpenLosses is the most open losses that are kept of one task; the oldest ones are dropped.
const maxOpenLosses = 8

// OpenLoss is the loss of a run with a worker that has crashed, or is cut off and lives on. It is stored with the worker's
// incarnation, so that each owner of the job can find out which of the two it was. A list of them is never changed in place,
// since a record that is being stored shares it.
type OpenLoss struct {
	Run         int         `cbor:"1,keyasint"`
	On          Incarnation `cbor:"2,keyasint"`
	Crash       Crash       `cbor:"3,keyasint"`           // to be recorded if the worker has crashed
	Accompanied bool        `cbor:"4,keyasint,omitempty"` // runs of other jobs, not cleared by a probation, were on the worker
	Presumed    bool        `cbor:"5,keyasint,omitempty"` // the worker's entry is missing, so it counts as crashed until it answers
}

// Suspend records the loss of a run whose cause is not known.
func (c *CrashRecord) Suspend(l OpenLoss) {
	c.Open = slices.Concat(c.Open[max(0, len(c.Open)+1-maxOpenLosses):], []OpenLoss{l})
}

// Presume counts the open loss of a run as a crash until it is resolved, and reports whether it did not count before.
func (c *CrashRecord) Presume(run int) bool {
	i := c.openLoss(run)
	if i < 0 || c.Open[i].Presumed {
		return false
	}
	c.Open = slices.Clone(c.Open)
	c.Open[i].Presumed = true
	return true
}

// Resolve removes the open loss of a run and what was presumed of it, and reports whether there was one.
func (c *CrashRecord) Resolve(run int) bool {
	i := c.openLoss(run)
	if i < 0 {
		return false
	}
	c.Open = slices.Concat(c.Open[:i], c.Open[i+1:])
	return true
}

func (c *CrashRecord) openLoss(run int) int {
	return slices.IndexFunc(c.Open, func(l OpenLoss) bool { return l.Run == run })
}

// Total returns the number of workers that have crashed while they had a run, or may have had it, certainly or presumably.
func (c *CrashRecord) Total() int {
	total := c.Crashes
	for _, l := range c.Open {
		if l.Presumed {
			total++
		}
	}
	return total
}

// TotalShown returns the number of workers that have crashed, certainly or presumably, and that certainly had a run.
func (c *CrashRecord) TotalShown() int {
	shown := c.Certain
	for _, l := range c.Open {
		if l.Presumed && l.Crash.Certain {
			shown++
		}
	}
	return shown
}

// Empty reports whether nothing is known of crashes or open losses.
func (c *CrashRecord) Empty() bool { return c.Crashes == 0 && len(c.Open) == 0 }
