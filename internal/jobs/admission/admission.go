package admission

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Supply is CPU, in thousandths of a core, that a pool has from a time on, counted from now. The first time is negative where the
// unfinished work was summed up a while ago, and the pool has worked on it since.
type Supply struct {
	From time.Duration
	CPU  int
}

// Team is what a team may use of a pool.
type Team struct {
	Weight   float64      // relative to the other teams'; a value that is not positive counts as 1
	Limit    int          // thousandths of a core that it may use, 0 for no limit
	Reserved job.CoreTime // work of its jobs that were told to come back and have not come yet
}

// Pending is unfinished work of a team that is due at one time.
type Pending struct {
	Team     int // index of the team in State.Teams
	Priority int // class: 0 goes first
	Due      time.Duration
	Work     job.CoreTime
	Running  bool // it occupies capacity until it ends, whatever its class is
	Late     bool // it can no longer be on time, so it yields to work of its class that can
}

// State is what a pool has and what it has accepted.
type State struct {
	Supply     []Supply // in order of time
	Efficiency float64  // fraction of the CPU that the tasks can use
	Teams      []Team
	Pending    []Pending
}

// Request is a job that asks to be accepted.
type Request struct {
	Team      int // index of the team in State.Teams
	Priority  int
	Due       time.Duration // in the time of Pending.Due
	Work      job.CoreTime
	Chain     time.Duration // length of the longest chain of steps
	Widest    int           // thousandths of a core of its largest task, which may run whatever the team's limit is
	Objective time.Duration
}

// Reason says why a job was rejected.
type Reason int

// Reasons.
const (
	Accepted      Reason = iota
	TeamOverShare        // the team's own work fills what the team may use
	PoolFull             // the work of all teams fills the pool, and the team uses no more than its share
	Early                // the job was told to come back later
	MemoryFull           // the pool keeps as many jobs as the memory of its owner allows
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case TeamOverShare:
		return "team over its share"
	case PoolFull:
		return "pool full"
	case Early:
		return "before its time"
	case MemoryFull:
		return "memory full"
	}
	return "unknown"
}

// Decision is the outcome for a Request, with what has decided it.
type Decision struct {
	Reason      Reason
	Retry       time.Duration // if rejected, time until the share has capacity for the job
	Share       int           // thousandths of a core that the team is entitled to now
	Ahead       job.CoreTime  // work of the team that is due no later than the job
	ExpectedEnd time.Duration // from now
	Objective   time.Duration
}

// Rejected reports whether the job was rejected.
func (d Decision) Rejected() bool { return d.Reason != Accepted }

const (
	// shortMargin is the fraction of its objective within which a job has to be expected to end while the pool is short. Accepted
	// jobs that can no longer be on time show that the work ahead takes longer than declared, or that capacity was lost.
	shortMargin = 0.85

	// unevenness is the assumed ratio between the longest of a step's tasks and the estimate while the pool is short.
	unevenness = 1.4

	// shortWait is the time that the pool needs for the waiting work of jobs that can't be on time, from which it counts as short.
	shortWait = 50 * time.Millisecond

	// borrowedWait is the part of the time for which a job may wait that a team over its share may fill with its work where half of the
	// unfinished work or more is the other teams', so that their next jobs are still on time behind it.
	borrowedWait = 0.3

	// overShare is the multiple of the other teams' work per weight from which a team is over its share.
	overShare = 1.5

	// minWait is the fraction of the objective for which any job may wait. A job whose own length leaves less (by a wrong
	// estimate, or a stretch below 1) would otherwise be rejected while capacity is idle.
	minWait = 0.25

	// minRetry is the least time after which a rejected job is told to come back.
	minRetry = 100 * time.Millisecond
)

// Decide accepts a job, or rejects it with the time until the team's share has capacity for it. It addresses surges of one
// or of all teams beyond the capacity of a pool. A job is accepted if the pool can do all work that is due no later in time, so that no
// capacity stays idle, or if the team's max-min fair share can do the team's part of it in time, so that no other team's
// surge keeps it out. A pool without capacity, or a job without an objective, gives no reason to reject.
func Decide(s *State, r *Request) Decision {
	d := Decision{Objective: r.Objective}
	supply := s.usable()
	if r.Objective <= 0 || supply.isEmpty() {
		return d
	}
	l := s.load(r)
	d.Ahead = l.own
	allowed := allowedWait(r, supply.timeFor(r.Work)-supply[0].From, supply.timeFor(l.late) > shortWait)
	isOver := l.excess(s, r, r.Team) > 0
	if isOver {
		allowed = time.Duration((1 - (1-borrowedWait)*min(1, 2*l.othersPart(r.Team))) * float64(allowed))
	}
	pool := endOf(r, supply.timeFor(l.before+l.ahead), supply.timeFor(l.before+l.ahead+r.Work))
	share := s.shareEnds(supply, r, l)
	d.Share = share.cpu
	limited := s.limitEnd(r, l)
	end := pool
	if share.end.wait < end.wait {
		end = share.end
	}
	byLimit := limited.wait > end.wait
	if byLimit {
		end = limited
	}
	d.ExpectedEnd = end.total
	if end.wait <= allowed {
		return d
	}
	d.Reason = PoolFull
	if byLimit || isOver {
		d.Reason = TeamOverShare
	}
	d.Retry = max(minRetry, end.wait-allowed)
	return d
}

// allowedWait returns how long a job may wait for other work, where alone it takes the given time on the whole pool.
func allowedWait(r *Request, alone time.Duration, isShort bool) time.Duration {
	objective, chain := float64(r.Objective), float64(r.Chain)
	within := objective
	if isShort {
		within *= shortMargin
		chain *= unevenness
	}
	return clampTime(max(within-max(chain, float64(alone)), minWait*objective))
}

// clampTime returns a number of nanoseconds as a time of at most job.MaxWait.
func clampTime(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(job.MaxWait)))
}

// ending is when a job is expected to end, and for how long it waits for other work until then.
type ending struct{ wait, total time.Duration }

// endOf returns the ending of a job behind work that takes the given time without and with its own work.
func endOf(r *Request, without, with time.Duration) ending {
	without = max(0, without)
	return ending{wait: without, total: min(job.MaxWait, max(without+min(r.Chain, job.MaxWait), with))}
}

// load is the unfinished work of a State as a Request sees it.
type load struct {
	before job.CoreTime   // of higher classes
	ahead  job.CoreTime   // of the request's class, due no later
	own    job.CoreTime   // part of ahead by the request's team, with what is reserved for it
	higher job.CoreTime   // part of before by the request's team
	late   job.CoreTime   // of the request's class and higher ones, waiting though it can't be on time
	teams  []job.CoreTime // of the request's class by team, whenever it is due
	work   job.CoreTime   // sum of teams
	weight float64        // of the teams with such work
}

func (s *State) load(r *Request) load {
	l := load{teams: make([]job.CoreTime, len(s.Teams))}
	for i, t := range s.Teams {
		l.teams[i] = t.Reserved
		l.ahead += t.Reserved
	}
	l.own = s.Teams[r.Team].Reserved
	for i := range s.Pending {
		l.add(&s.Pending[i], r)
	}
	for t, w := range l.teams {
		if w > 0 {
			l.work += w
			l.weight += s.Teams[t].weight()
		}
	}
	return l
}

// add adds unfinished work. What runs goes before the request whatever its class and due time are.
func (l *load) add(w *Pending, r *Request) {
	isOwn := w.Team == r.Team
	if w.Late && w.Priority <= r.Priority {
		l.late += w.Work
	}
	switch {
	case w.Running && w.Priority > r.Priority, w.Priority < r.Priority:
		l.before += w.Work
		if isOwn {
			l.higher += w.Work
		}
	case w.Priority == r.Priority && !w.Late:
		l.teams[w.Team] += w.Work
		if w.Due > r.Due && !w.Running {
			return
		}
		l.ahead += w.Work
		if isOwn {
			l.own += w.Work
		}
	}
}

// othersPart returns the part of the unfinished work that is not the given team's.
func (l *load) othersPart(team int) float64 {
	if l.work <= 0 {
		return 0
	}
	return float64((l.work - l.teams[team]) / l.work)
}

// excess returns the work of a team beyond its share, which is clearly more work per weight than the other teams with unfinished work
// have together. One job as large as the request is not counted: a team that seldom has two jobs at a time is not over its
// share with the second. A team that is alone has no excess.
func (l *load) excess(s *State, r *Request, team int) job.CoreTime {
	weight := s.Teams[team].weight()
	others, othersWeight := l.work-l.teams[team], l.weight-weight
	if l.teams[team] <= 0 || others <= 0 || othersWeight <= 0 {
		return 0
	}
	entitled := overShare * weight * float64(others) / othersWeight
	return max(0, l.teams[team]-job.CoreTime(entitled)-r.Work)
}

// limitEnd returns the ending of a job whose team uses as much as its limit allows.
func (s *State) limitEnd(r *Request, l load) ending {
	limit := s.Teams[r.Team].Limit
	if limit <= 0 {
		return ending{}
	}
	limit = max(limit, r.Widest, 1)
	own := l.higher + l.own
	return endOf(r, own.TimeOn(limit), (own + r.Work).TimeOn(limit))
}

func (t *Team) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}
