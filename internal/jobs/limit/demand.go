package limit

// FullLimit is all of a team's limit; allocations are thousandths of the limit, so that a new limit takes effect at
// once.
const FullLimit = 1000

// minAllocation is the smallest allocation, in which no task fits.
const minAllocation = 1

// Divisors of a pool's equal share of the limits.
const (
	initialDivisor  = 10
	fallbackDivisor = 4
)

// Initial returns what a new owner of a pool has of every team's limit until an allocation reaches it. The only pool has all.
func Initial(pools int) int {
	if pools <= 1 {
		return FullLimit
	}
	return max(1, FullLimit/initialDivisor/pools)
}

// Fallback returns the most that a pool keeps of every team's limit while no allocations reach it.
func Fallback(pools int) int {
	if pools <= 1 {
		return FullLimit
	}
	return max(1, FullLimit/fallbackDivisor/pools)
}

// Ceiling is a team's upper limit over all pools; a zero field is no limit.
type Ceiling struct {
	_            struct{} `cbor:",toarray"`
	CPU          int      // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Demand is the demand and allocation of a team in one pool, in thousandths of the team's limit.
type Demand struct {
	Used       int     `cbor:"1,keyasint,omitempty"` // used by runs that exist or may exist
	Requested  int     `cbor:"2,keyasint,omitempty"` // requested by these runs and the tasks that could start
	Allocation int     `cbor:"3,keyasint,omitempty"` // allocation: the most that the pool lets the team use
	Unit       int     `cbor:"4,keyasint,omitempty"` // needed by the smallest task, or gang, that could start; 0 for none
	Overdraft  bool    `cbor:"5,keyasint,omitempty"` // the pool may start a task that does not fit into the allocation
	Ceiling    Ceiling `cbor:"6,keyasint"`           // limit that all this goes by
	Task       int     `cbor:"7,keyasint,omitempty"` // part of Unit that is one task, which an overdraft covers
}

// isBlocked reports whether a task waits that does not fit into the allocation.
func (d Demand) isBlocked() bool { return d.Unit > 0 && d.Used+d.Unit > d.Allocation }

// isOver reports whether the pool uses more than its allocation.
func (d Demand) isOver() bool { return d.Used > d.Allocation }

// Demands holds the demand of each team in one pool.
type Demands map[string]Demand

// Allocations holds the allocation of one pool from each team's limit.
type Allocations map[string]int

// Grant is what one owner of a pool may use of the teams' limits.
type Grant struct {
	Owner       int64              // claim of the owner of the pool that it is for, 0 for any
	Allocations Allocations        // nil leaves them unchanged
	Overdrafts  map[string]Ceiling // teams of which the pool may start a task beyond its allocation, with the limit for which that holds
}
