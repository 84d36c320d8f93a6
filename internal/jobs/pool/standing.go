package pool

// Standing is how the work of a pool stands, for logs and metrics.
type Standing struct {
	Timely, Tardy, Hopeless int // jobs that run once and have not ended
	Room, Used              int // thousandths of a core
	Workers                 int // that may get new work
	Waiting, Capped         int // ready tasks, and those of them that their team's limit holds back
	Unconfirmed             int // the part of Used whose runs no worker has confirmed yet
	UsedTardy, UsedHopeless int // the parts of Used that jobs take which cannot be in time, or for which nobody waits
}

// Standing returns how the work of the pool stands.
func (p *Pool) Standing(at Moment) Standing {
	var s Standing
	for _, e := range p.active {
		if e.job.State.Ended() || !e.job.Spec.Once() {
			continue
		}
		switch e.chance {
		case timely:
			s.Timely++
		case tight, tardy:
			s.Tardy++
		case hopeless:
			s.Hopeless++
		}
	}
	for _, it := range p.waiting(at) {
		step := &it.entry.job.Spec.Steps[it.step]
		count := it.waiting()
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

// addRuns counts what the runs of a worker take by how far they are and what their jobs can still be.
func (s *Standing) addRuns(h *host) {
	for _, r := range h.runs {
		if r.phase == storing || r.phase == sending || r.phase == doubtful {
			s.Unconfirmed += r.need.CPU
		}
		if !r.job.job.Spec.Once() {
			continue
		}
		switch r.job.chance {
		case timely:
		case tight, tardy:
			s.UsedTardy += r.need.CPU
		case hopeless:
			s.UsedHopeless += r.need.CPU
		}
	}
}
