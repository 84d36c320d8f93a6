package pool

// Standing summarizes the jobs, capacity and usage of a pool for logs and metrics.
type Standing struct {
	Timely, Tardy, Hopeless int // unfinished one-time jobs: on time, at risk or late, and infeasible
	Room, Used              int // capacity and usage of these workers in thousandths of a core
	Workers                 int // workers that may get new work
	Waiting, Capped         int // ready tasks, and those among them that their team's limit holds back
	Unconfirmed             int // part of Used by runs that no worker has confirmed yet
	UsedTardy, UsedHopeless int // parts of Used by one-time jobs that are at risk or late, and by infeasible ones
}

// Standing returns a summary of the pool's jobs, capacity and usage.
func (p *Pool) Standing(at Moment) Standing {
	var s Standing
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		switch e.feasibility {
		case onTime:
			s.Timely++
		case atRisk, late:
			s.Tardy++
		case infeasible:
			s.Hopeless++
		}
	}
	for _, it := range p.waiting(at) {
		step := &it.entry.job.Spec.Steps[it.step]
		count := it.countWaiting()
		s.Waiting += count
		if !p.team(it.entry.job.Spec.Team).admits(fullNeed(step)) {
			s.Capped += count
		}
	}
	for _, h := range p.workers {
		if !p.usable(at, h) {
			continue
		}
		s.Workers++
		s.Room += h.info.Capacity.CPU
		s.Used += h.used.CPU
		s.addRuns(h)
	}
	return s
}

// addRuns adds the CPU of a worker's runs to Unconfirmed by their phase and to UsedTardy and UsedHopeless by the
// feasibility of their jobs.
func (s *Standing) addRuns(h *host) {
	for _, r := range h.runs {
		if r.phase == storing || r.phase == sending || r.phase == indeterminate {
			s.Unconfirmed += r.need.CPU
		}
		if !r.job.job.Spec.Once() {
			continue
		}
		switch r.job.feasibility {
		case onTime:
		case atRisk, late:
			s.UsedTardy += r.need.CPU
		case infeasible:
			s.UsedHopeless += r.need.CPU
		}
	}
}
