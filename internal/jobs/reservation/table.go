package reservation

import (
	"container/heap"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Sizes and limits of a Table.
const (
	// DefaultMaxJobs and DefaultMaxPerTeam suit a pool with 1,000 rejected callers of one team.
	DefaultMaxJobs    = 4096
	DefaultMaxPerTeam = 1024

	// DefaultGrace is the longest delay of a caller that returns when told: 1 s because Retry-After is rounded up to whole
	// seconds, 1.2 s for the call of its instance to the owner (ownerTimeout in package instance), 0.3 s for the way from
	// the caller and back.
	DefaultGrace = 2500 * time.Millisecond

	// maxPerSecond bounds the returns in one second, so that jobs with little work do not form a second herd. Admitting 256
	// jobs to a pool with 800 takes 9 ms (BenchmarkAdmitInFullPool), the smallest owner has 120 ms of a core in a second.
	maxPerSecond = 256

	// repeatedSpread is the least number of seconds over which jobs that have come before, or are of no use in a second, are
	// spread. Within what is left of their time of use, the callers of one surge would come together at its end: 1,469
	// calls in one second of TestHerdBeyondUse, 630 with this.
	repeatedSpread = 8

	classes = 8 // priorities that are told apart; lower ones count as the last of them
)

// Retry-After has whole seconds, so this is the shortest delay and the finest spread.
const resolution = time.Second

// Config holds the settings of a Table.
type Config struct {
	MaxJobs    int           // entries in total
	MaxPerTeam int           // entries of one team
	Grace      time.Duration // how long after its return time a job is Due
}

// Job is a rejected job. Times are the owner's steady time.
type Job struct {
	ID       job.ID
	Team     string
	Priority int // 0 is the highest
	Work     job.CoreTime
	First    time.Duration // first arrival
	Latest   time.Duration // latest useful return
}

// entry is a job that was told to come back.
type entry struct {
	job    Job
	work   microWork
	at     time.Duration // return time
	missed bool
	until  time.Duration // end of the grace, or of the time for which a missed entry is kept
	team   *team
	index  int // in its heap
}

// team sums up the entries of a team that are not missed.
type team struct {
	name  string
	count int
	work  [classes]microWork
}

// slot identifies the returns of one team in one second.
type slot struct {
	second int64
	team   *team
}

// Table holds the jobs that were told to come back. Entries that are not missed are never displaced: the promise to their
// callers holds until the grace is over.
type Table struct {
	config  Config
	entries map[job.ID]*entry
	open    byUntil // entries that are not missed
	missed  byUntil
	teams   map[string]*team
	seconds map[int64]int // returns by second, of all teams
	slots   map[slot]int
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{
		config: c, entries: map[job.ID]*entry{}, teams: map[string]*team{}, seconds: map[int64]int{}, slots: map[slot]int{},
	}
}

// Len returns the number of entries, with those that were missed.
func (t *Table) Len() int { return len(t.entries) }

// Reserve tells when a rejected job should come back: a whole number of seconds from now, since callers are told whole
// seconds. The parameter room is the time after which the job's team has capacity for it, with the work of AheadOf counted
// as ahead of it. If ok is true, the job will be Due at that time, which is later than room where too many jobs return in
// the same second. If ok is false, the job would be of no use by then, or there is no space in the table: the job will
// count as new, and its time is spread.
//
// A job whose return time has not come keeps it. One that was Due or Missed keeps its first arrival.
func (t *Table) Reserve(now time.Duration, j Job, room time.Duration) (at time.Duration, ok bool) {
	t.advance(now)
	room = min(max(room, 0), job.MaxWait)
	hasSpace := j.ID.IsValid() && t.hasSpace(j.Team, j.Priority)
	if known := t.entries[j.ID]; known != nil {
		if known.job.Team != j.Team {
			return now + spread(now, &j, room), false // the ID is that of another team's job
		}
		if !known.missed && now < known.at {
			return known.at, true
		}
		j.Latest -= max(0, j.First-known.job.First)
		j.First = min(j.First, known.job.First)
		hasSpace = hasSpace || !known.missed
		t.remove(known)
	}
	if hasSpace {
		if at, ok = t.returnTime(now, &j, room); ok {
			t.add(j, at)
			return at, true
		}
	}
	t.addMissed(now, j)
	return now + spread(now, &j, room), false
}

// spread returns a whole number of seconds by a hash of the job, so that jobs without a reservation do not return together:
// within the time in which the job is of use, and around room if that is earlier.
func spread(now time.Duration, j *Job, room time.Duration) time.Duration {
	seconds := min(int64((j.Latest-now)/resolution), max(repeatedSpread, int64(2*room/resolution)))
	if seconds < 1 || j.First < now {
		seconds = max(seconds, repeatedSpread)
	}
	// With the time in the hash, jobs that were told the same delay are told different ones the next time.
	hash := xxhash.Sum64String(string(j.ID) + strconv.FormatInt(secondOf(now), 10))
	return time.Duration(1+hash%uint64(seconds)) * resolution
}

// Check tells whether a job that comes was told to come back, and whether it comes at the time that it was told.
func (t *Table) Check(now time.Duration, id job.ID) Standing {
	t.advance(now)
	e := t.entries[id]
	switch {
	case e == nil:
		return None{}
	case e.missed:
		return Missed{Job: e.job}
	case now < e.at:
		return Early{At: e.at}
	}
	return Due{Job: e.job}
}

// Release removes a job that was accepted or cancelled.
func (t *Table) Release(id job.ID) {
	if e := t.entries[id]; e != nil {
		t.remove(e)
	}
}

// Ahead returns the work that a team's callers were told to come back with and that is neither back nor missed.
func (t *Table) Ahead(now time.Duration, team string) job.CoreTime {
	return t.AheadOf(now, team, math.MaxInt)
}

// AheadOf returns the part of Ahead that counts as ahead of a new job of the given priority.
func (t *Table) AheadOf(now time.Duration, team string, priority int) job.CoreTime {
	t.advance(now)
	known := t.teams[team]
	if known == nil {
		return 0
	}
	var sum microWork
	for _, w := range known.work[:class(priority)+1] {
		sum += w
	}
	return sum.coreTime()
}

// hasSpace tells whether a team may have one more entry. A team may have as many entries as it leaves to the other teams,
// and lower priorities half of that, so that neither one team's surge nor its less important jobs fill the table.
func (t *Table) hasSpace(teamName string, priority int) bool {
	count := 0
	if known := t.teams[teamName]; known != nil {
		count = known.count
	}
	return count < allowance(min(t.config.MaxPerTeam, t.config.MaxJobs-len(t.open)), priority)
}

// allowance returns how much of a bound a priority may use.
func allowance(bound, priority int) int {
	if priority > 0 {
		return bound / 2
	}
	return bound
}

// returnTime returns the first whole number of seconds from now that is not before room and not in a second in which
// enough jobs return already. At most a few dozen seconds can be full, since the table is bounded.
func (t *Table) returnTime(now time.Duration, j *Job, room time.Duration) (time.Duration, bool) {
	if room >= job.MaxWait || room > j.Latest-now {
		return 0, false
	}
	wait := max(resolution, room+resolution-1).Truncate(resolution)
	for at := now + wait; at <= j.Latest; at += resolution {
		second := secondOf(at)
		returning := t.slots[slot{second, t.teams[j.Team]}]
		if returning < allowance(maxPerSecond-t.seconds[second], j.Priority) {
			return at, true
		}
	}
	return 0, false
}

func secondOf(at time.Duration) int64 { return int64(at / resolution) }

func class(priority int) int { return min(max(priority, 0), classes-1) }

// add adds an entry with a return time.
func (t *Table) add(j Job, at time.Duration) {
	t.makeSpace()
	of := t.teams[j.Team]
	if of == nil {
		of = &team{name: strings.Clone(j.Team)}
		t.teams[of.name] = of
	}
	e := &entry{job: owned(j), work: microWorkOf(j.Work), at: at, until: at + t.config.Grace, team: of}
	e.job.Team = of.name
	t.entries[e.job.ID] = e
	heap.Push(&t.open, e)
	t.count(e, 1)
}

// addMissed keeps the first arrival of a job without a return time, as long as the job is of use and there is space.
func (t *Table) addMissed(now time.Duration, j Job) {
	if !j.ID.IsValid() || j.Latest <= now || len(t.open) >= t.config.MaxJobs {
		return
	}
	t.makeSpace()
	e := &entry{job: owned(j), missed: true, until: j.Latest}
	t.entries[e.job.ID] = e
	heap.Push(&t.missed, e)
}

// owned returns a job whose strings keep nothing else in memory: an ID may be a part of a whole path or message.
func owned(j Job) Job {
	j.ID, j.Team = job.ID(strings.Clone(string(j.ID))), strings.Clone(j.Team)
	return j
}

// makeSpace drops the missed entries that are of use for the shortest time while the table is full.
func (t *Table) makeSpace() {
	for len(t.entries) >= t.config.MaxJobs && len(t.missed) > 0 {
		t.remove(t.missed[0])
	}
}

// advance applies what has changed by itself: return times that were missed, and missed jobs that are of no use any more.
func (t *Table) advance(now time.Duration) {
	for len(t.open) > 0 && t.open[0].until < now {
		e := heap.Pop(&t.open).(*entry)
		t.count(e, -1)
		e.missed, e.until = true, e.job.Latest
		heap.Push(&t.missed, e)
	}
	for len(t.missed) > 0 && t.missed[0].until < now {
		t.remove(t.missed[0])
	}
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.job.ID)
	if e.missed {
		heap.Remove(&t.missed, e.index)
		return
	}
	heap.Remove(&t.open, e.index)
	t.count(e, -1)
}

// count adds an entry that is not missed to the sums, or subtracts it.
func (t *Table) count(e *entry, sign int) {
	e.team.count += sign
	e.team.work[class(e.job.Priority)] += microWork(sign) * e.work
	if e.team.count == 0 {
		delete(t.teams, e.team.name)
	}
	second := secondOf(e.at)
	adjust(t.seconds, second, sign)
	adjust(t.slots, slot{second, e.team}, sign)
}

// adjust changes a counter and removes it at 0, so that the map stays as small as the table.
func adjust[K comparable](counters map[K]int, key K, change int) {
	counters[key] += change
	if counters[key] == 0 {
		delete(counters, key)
	}
}

// microWork is work in millionths of a core-second. Sums of integers do not drift however many jobs come and go, and an
// absurd estimate does not swallow the others' work as in a sum of floating-point numbers.
type microWork int64

// maxWork bounds the work of one job: 4,096 such jobs do not overflow the sum.
const maxWork job.CoreTime = 1e9

func microWorkOf(w job.CoreTime) microWork {
	if !(w > 0) { // not a number, too
		return 0
	}
	return microWork(min(w, maxWork) * 1e6)
}

func (w microWork) coreTime() job.CoreTime { return job.CoreTime(w) / 1e6 }

// byUntil is a heap of entries whose top changes first.
type byUntil []*entry

func (q byUntil) Len() int           { return len(q) }
func (q byUntil) Less(i, k int) bool { return q[i].until < q[k].until }
func (q byUntil) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].index, q[k].index = i, k
}

// Push appends an entry; it implements heap.Interface.
func (q *byUntil) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop removes the last entry; it implements heap.Interface.
func (q *byUntil) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}
