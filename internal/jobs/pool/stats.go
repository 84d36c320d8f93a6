package pool

import "marigoldshed.example/marigoldshed/internal/jobs/catalog"

// Stats summarizes the jobs, capacity and usage of a pool for logs and metrics.
type Stats struct {
	OnTime, AtRiskOrLate, Infeasible int // unfinished one-time jobs: on time, at risk or late, and infeasible
	Capacity, Used                   int // capacity and usage of these workers in thousandths of a core
	Workers                          int // workers that may get new work
	Waiting, Capped                  int // ready tasks, and those among them that their team's limit holds back
	Overdrafts                       int // teams of which a task may start beyond the pool's allocation
	Suspected                        int // part of Waiting that has to start alone since workers crashed under it
	OnProbation                      int // workers that get no other work since they run such a task
	Ejected                          int // workers that get no new work since they fail what they start
	Unconfirmed                      int // part of Used by runs that no worker has confirmed yet
	UsedAtRiskOrLate, UsedInfeasible int // parts of Used by one-time jobs that are at risk or late, and by infeasible ones
}

// Stats returns a summary of the pool's jobs, capacity and usage.
func (p *Pool) Stats(at Moment) Stats {
	var s Stats
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		switch e.feasibility {
		case onTime:
			s.OnTime++
		case atRisk, late:
			s.AtRiskOrLate++
		case infeasible:
			s.Infeasible++
		}
	}
	for _, it := range p.waiting(at) {
		step := &it.entry.job.Spec.Steps[it.step]
		count := it.countWaiting()
		s.Waiting += count
		s.Suspected += it.countSuspects()
		if !p.team(it.entry.job.Spec.Team).admits(step) {
			s.Capped += count
		}
	}
	for _, t := range p.teams {
		if t.overdraft && t.limit != (catalog.Resources{}) {
			s.Overdrafts++
		}
	}
	for _, h := range p.workers {
		if p.isEjected(at, h) {
			s.Ejected++
		}
		if !p.usable(at, h) {
			continue
		}
		s.Workers++
		if h.onProbation > 0 {
			s.OnProbation++
		}
		s.Capacity += h.info.Capacity.CPU
		s.Used += h.used.CPU
		s.addRuns(h)
	}
	return s
}

// addRuns adds the CPU of a worker's runs to Unconfirmed by their phase and to UsedAtRiskOrLate and UsedInfeasible by
// the feasibility of their jobs.
func (s *Stats) addRuns(h *host) {
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
			s.UsedAtRiskOrLate += r.need.CPU
		case infeasible:
			s.UsedInfeasible += r.need.CPU
		}
	}
}
