package admission

import (
	"math"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// rates is the CPU that can be used over time.
type rates []Supply

// usable returns the part of the supply that tasks can use, without negative amounts.
func (s *State) usable() rates {
	efficiency := s.Efficiency
	if efficiency <= 0 || efficiency > 1 {
		efficiency = 1
	}
	var r rates
	for _, p := range s.Supply {
		r = append(r, Supply{From: p.From, CPU: max(0, int(efficiency*float64(p.CPU)))})
	}
	return r
}

func (r rates) isEmpty() bool {
	for _, p := range r {
		if p.CPU > 0 {
			return false
		}
	}
	return true
}

// until returns the end of a part of the supply.
func (r rates) until(i int) time.Duration {
	if i+1 < len(r) {
		return r[i+1].From
	}
	return job.MaxWait
}

// timeFor returns when the supply has done an amount of work, which is negative if that was before now.
func (r rates) timeFor(work job.CoreTime) time.Duration {
	for i, p := range r {
		if work <= 0 {
			return p.From
		}
		done := job.WorkOn(p.CPU, r.until(i)-p.From)
		if p.CPU > 0 && work <= done {
			return min(job.MaxWait, p.From+work.TimeOn(p.CPU))
		}
		work -= done
	}
	return job.MaxWait
}

// share is what a team's max-min fair share gives a job.
type share struct {
	cpu int // thousandths of a core at first
	end ending
}

// negligible is the work below which a team counts as done, so that rounding does not add phases.
const negligible = 1e-9

// division is the state of sharing the supply among teams over time, in core-seconds and seconds.
type division struct {
	state *State
	team  int       // the request's
	own   float64   // what is left of this team's work ahead of the request
	left  []float64 // what is left of each team's work, with the request's
	cpu   []float64 // cores that each team gets
	now   float64
}

// shareEnds shares the supply among the teams with unfinished work, by weight and up to their limits, until the request's
// team has done its work ahead and then the request's own. What a team does not need goes to the others.
func (s *State) shareEnds(supply rates, r *Request, l load) share {
	d := division{state: s, team: r.Team, own: float64(l.own), left: make([]float64, len(s.Teams)), cpu: make([]float64, len(s.Teams))}
	for i, w := range l.teams {
		d.left[i] = float64(w)
	}
	d.left[r.Team] = d.own + float64(r.Work)
	start := supply.timeFor(l.before)
	d.now = start.Seconds()
	result := share{end: ending{wait: job.MaxWait, total: job.MaxWait}}
	if d.own <= negligible {
		result.end.wait = max(0, start)
	}
	for i, p := range supply {
		until := supply.until(i).Seconds()
		for d.now < until && d.left[r.Team] > negligible {
			waited := d.own > negligible
			d.step(float64(p.CPU)/job.CoreUnits, until)
			if result.cpu == 0 {
				result.cpu = int(d.cpu[r.Team] * job.CoreUnits)
			}
			if waited && d.own <= negligible {
				result.end.wait = seconds(d.now)
			}
		}
	}
	if d.left[r.Team] <= negligible {
		result.end = endOf(r, result.end.wait, seconds(d.now))
	}
	return result
}

// step divides the given cores until a team has done its work, the work ahead of the request is done, or the given time is reached.
func (d *division) step(cores, until float64) {
	d.state.divide(cores, d.left, d.cpu)
	step := until - d.now
	for t, left := range d.left {
		if left > negligible && d.cpu[t] > 0 {
			step = min(step, left/d.cpu[t])
		}
	}
	if own := d.cpu[d.team]; d.own > negligible && own > 0 {
		step = min(step, d.own/own)
	}
	d.now += step
	for t := range d.left {
		d.left[t] = max(0, d.left[t]-d.cpu[t]*step)
	}
	d.own -= d.cpu[d.team] * step
}

func seconds(s float64) time.Duration { return clampTime(s * float64(time.Second)) }

// divide sets the CPU, in cores, that each team with work left gets of the given cores.
func (s *State) divide(cores float64, left, cpu []float64) {
	weight := 0.0
	for t := range left {
		cpu[t] = 0
		if left[t] > negligible {
			cpu[t] = math.Inf(1) // not set yet
			weight += s.Teams[t].weight()
		}
	}
	for limited := true; limited; {
		limited = false
		unit := cores / max(weight, negligible)
		for t := range left {
			limit := float64(s.Teams[t].Limit) / job.CoreUnits
			if w := s.Teams[t].weight(); math.IsInf(cpu[t], 1) && limit > 0 && limit < unit*w {
				cpu[t], limited = limit, true
				cores -= limit
				weight -= w
			}
		}
	}
	for t := range left {
		if math.IsInf(cpu[t], 1) {
			cpu[t] = cores * s.Teams[t].weight() / weight
		}
	}
}
