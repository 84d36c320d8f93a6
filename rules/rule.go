package rules

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Pool is a rule that defines a pool of instances.
type Pool struct {
	Name   id.Pool
	Size   int // instances
	Budget int // instances that may be out of service at once
	Spare  bool
}

// Queue is a rule that lets callers send work to a pool.
type Queue struct {
	Name  id.Queue
	Pool  id.Pool
	Open  bool
	Teams []id.Team // teams whose keys are accepted; for an open queue, the team that work without a key counts for
}

// Team is a rule that sets a team's share and limit.
type Team struct {
	Name  id.Team
	Share int // weight against the other teams when the fleet is full
	Limit int // slots, fleet-wide
}

// Key is a rule that lets the holder of a secret act for a team.
type Key struct {
	Name string
	Team id.Team
	Hash string // SHA-256 of the secret, in hex
}

// Drain is a rule that asks for one instance to be emptied and rebooted.
type Drain struct {
	Instance id.Instance
}

// Move is a rule that pins one instance to a pool.
type Move struct {
	Instance id.Instance
	Pool     id.Pool
}

// Wave is a rule that asks for every instance of a pool to be rebooted once under its name.
type Wave struct {
	Name string
	Pool id.Pool
}

// Maintain is a rule that asks for every instance to be rebooted once in each period.
type Maintain struct {
	Name  string
	Every time.Duration
}

// Cutoff is a rule that limits how long a data centre that is cut off may continue to start work.
type Cutoff struct {
	DataCentre id.DataCentre
	Hold       time.Duration
}

// Set is one accepted rules file as typed values, each kind in the file's order.
type Set struct {
	Pools     []Pool
	Queues    []Queue
	Teams     []Team
	Keys      []Key
	Outs      []id.DataCentre
	Drains    []Drain
	Moves     []Move
	Waves     []Wave
	Maintains []Maintain
	Cutoffs   []Cutoff
}

// DefaultHold is how long a data centre without a cutoff rule may continue to start work when it is cut off.
const DefaultHold = 15 * time.Minute

// Pool returns the pool of a name and whether there is one.
func (s *Set) Pool(name id.Pool) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// SparePool returns the pool that lends instances to the others and whether there is one.
func (s *Set) SparePool() (Pool, bool) {
	for _, p := range s.Pools {
		if p.Spare {
			return p, true
		}
	}
	return Pool{}, false
}

// Queue returns the queue of a name and whether there is one.
func (s *Set) Queue(name id.Queue) (Queue, bool) {
	for _, q := range s.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team of a name and whether there is one.
func (s *Set) Team(name id.Team) (Team, bool) {
	for _, t := range s.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// IsOut reports whether operators have taken a data centre out.
func (s *Set) IsOut(dc id.DataCentre) bool {
	for _, out := range s.Outs {
		if out == dc {
			return true
		}
	}
	return false
}

// Hold returns how long a data centre that is cut off may continue to start work.
func (s *Set) Hold(dc id.DataCentre) time.Duration {
	for _, c := range s.Cutoffs {
		if c.DataCentre == dc {
			return c.Hold
		}
	}
	return DefaultHold
}

// Accepts reports whether a queue accepts work from a team that has presented its key.
func (q Queue) Accepts(team id.Team) bool {
	if q.Open {
		return true
	}
	for _, t := range q.Teams {
		if t == team {
			return true
		}
	}
	return false
}
