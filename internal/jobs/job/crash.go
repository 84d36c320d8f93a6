package job

import (
	"slices"
	"time"
)

// repeatedCrashes is the number of crashes at one age of a task's runs, or of crashes at an unknown age, from which it is
// suspected, whatever else ran on the workers.
const repeatedCrashes = 2

// ageTolerance allows for the time that orders and answers take when the age of a run is compared with another's.
const ageTolerance = 50 * time.Millisecond

// UnknownAge is the upper bound of the age of a run that is not known. No run outlives it.
const UnknownAge = 1000 * time.Hour

// promptAge is the age up to which a run is so young that its instance is hardly to blame for a second crash.
const promptAge = 250 * time.Millisecond

// CrashRecord is what is known of the workers that crashed under a task. A task that crashes each worker that starts it
// does so at about the same age of each run, so crashes at other ages, and a run that grows older, speak for the task.
type CrashRecord struct {
	Crashes   int           `cbor:"1,keyasint,omitempty"` // workers that have certainly crashed while they had a run, or may have had it
	Strikes   int           `cbor:"2,keyasint,omitempty"` // newest crashes in a row that may have come at one age of the run
	From      time.Duration `cbor:"3,keyasint,omitempty"` // lower bound of that age
	Until     time.Duration `cbor:"4,keyasint,omitempty"` // upper bound of that age
	Suspected bool          `cbor:"5,keyasint,omitempty"` // the next run has to be alone on its worker
	Instances []string      `cbor:"6,keyasint,omitempty"` // instances of the workers that crashed at that age
	Uncertain int           `cbor:"7,keyasint,omitempty"` // strikes of runs that no answer of the worker had shown
	Certain   int           `cbor:"8,keyasint,omitempty"` // crashes of workers that certainly had a run
	Shown     int           `cbor:"9,keyasint,omitempty"` // newest run that was seen on its worker, of a task with crashes
	Open      []OpenLoss    `cbor:"10,keyasint,omitempty"`
	Newest    Incarnation   `cbor:"11,keyasint,omitzero"` // worker of the newest run, of a task with crashes or open losses
}

// Incarnation is one life of a worker, as far as it is known.
type Incarnation struct {
	Worker    string    `cbor:"1,keyasint"`
	Instance  string    `cbor:"2,keyasint,omitempty"` // empty if unknown
	StartedAt time.Time `cbor:"3,keyasint,omitzero"`  // zero if unknown
}

// Crash is the crash of a worker under a run.
type Crash struct {
	Instance string        `cbor:"1,keyasint,omitempty"`
	From     time.Duration `cbor:"2,keyasint,omitempty"` // lower bound of the age of the run
	Until    time.Duration `cbor:"3,keyasint,omitempty"` // upper bound of the age of the run
	Suspect  bool          `cbor:"4,keyasint,omitempty"` // the run was among those that had started last on the worker
	Certain  bool          `cbor:"5,keyasint,omitempty"` // an answer of the worker had shown the run; otherwise its start may have come too late
	Alone    bool          `cbor:"6,keyasint,omitempty"` // the run was on probation
}

// Add records a crash. An instance whose workers crash under older runs of the task again and again may be at fault
// itself, so its crashes count once.
func (c *CrashRecord) Add(crash Crash) {
	c.Crashes++
	if crash.Certain {
		c.Certain++
	}
	if !crash.Certain && !crash.Alone {
		c.Suspected = c.Suspected || crash.Suspect || c.Total() >= repeatedCrashes
		return
	}
	c.addStrike(crash)
	c.Suspected = c.Suspected || crash.Suspect || c.Strikes >= repeatedCrashes || crash.Until >= UnknownAge && c.Total() >= repeatedCrashes
}

func (c *CrashRecord) addStrike(crash Crash) {
	if c.Strikes == 0 || crash.From > c.Until+ageTolerance || crash.Until < c.From-ageTolerance {
		c.Strikes, c.From, c.Until, c.Uncertain = 0, crash.From, crash.Until, 0
		c.Instances = nil
	}
	if slices.Contains(c.Instances, crash.Instance) && crash.Until > promptAge {
		return
	}
	c.Strikes++
	if !crash.Certain {
		c.Uncertain++
	}
	c.From = max(c.From, crash.From)
	c.Until = max(c.From, min(c.Until, crash.Until))
	c.Instances = append(c.Instances, crash.Instance)
}

// Prompt reports whether the crashes came so soon after the start of the runs that hardly anything else can be their
// cause.
func (c *CrashRecord) Prompt() bool { return c.Strikes > 0 && c.Until <= promptAge }

// Outlive records that a run has reached an age, and reports whether that clears the task of the crashes so far.
func (c *CrashRecord) Outlive(age time.Duration) bool {
	if !c.Suspected && c.Strikes == 0 || age <= c.Probation() {
		return false
	}
	*c = CrashRecord{Crashes: c.Crashes, Certain: c.Certain, Shown: c.Shown, Open: c.Open, Newest: c.Newest}
	return true
}

// Probation returns the age from which a run shows that its task did not cause the crashes so far.
func (c *CrashRecord) Probation() time.Duration { return c.Until + ageTolerance }
