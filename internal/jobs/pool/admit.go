package pool

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// AdmissionPolicy is the rule by which a pool rejects jobs.
type AdmissionPolicy int

// Admission policies.
const (
	AdmitByBacklog AdmissionPolicy = iota // rejects a job that would end too late to be of any use behind the work of all teams
	AdmitByTeam                           // rejects a job that can't be on time by package admission, and keeps reservations
)

// String returns the policy's name in settings.
func (a AdmissionPolicy) String() string { return [...]string{"backlog", "team"}[a] }

// ParseAdmissionPolicy returns the policy of a name, and whether there is one.
func ParseAdmissionPolicy(name string) (AdmissionPolicy, bool) {
	for _, a := range []AdmissionPolicy{AdmitByBacklog, AdmitByTeam} {
		if a.String() == name {
			return a, true
		}
	}
	return 0, false
}

// OverloadedError rejects a job that could not end while that is of use to its caller.
type OverloadedError struct {
	Wait   time.Duration // after which the pool is expected to have capacity for the job
	Reason admission.Reason
}

// Error states the reason and the wait.
func (e OverloadedError) Error() string {
	return fmt.Sprintf("pool: %v, estimated wait until there is capacity for the job is %v", e.Reason, e.Wait)
}

// Admit rejects a job that can no longer be on time, as package admission decides, so that its caller can go elsewhere in
// time. Where teams have no weights or the job has no objective, only a job that would end too late to be of any use is
// rejected. A job that the pool already has is accepted, and so are a scheduled or long-running job, and any job while the capacity is
// unknown, if the memory of the pool suffices for them.
func (p *Pool) Admit(at Moment, spec *job.Spec) error {
	if _, known := p.jobs[spec.ID]; known {
		return nil
	}
	if err := p.admitMemory(spec); err != nil || !spec.Once() {
		return err
	}
	if at.Steady > p.obtainableUntil {
		return nil // the capacity that the pool can get is unknown
	}
	a := &poolAdmitter{pool: p}
	var err error
	if p.config.Admission == AdmitByTeam && p.reservesRetries(spec) {
		err = p.retries.admit(at, spec, p.work(spec), a)
	} else {
		err = a.apply(p.decideByBacklog(at, spec))
	}
	var rejected OverloadedError
	if errors.As(err, &rejected) {
		d := a.decision
		d.Retry, d.Reason = rejected.Wait, rejected.Reason
		p.config.Observer.Rejected(spec, d)
	}
	return err
}

// poolAdmitter decides about the jobs that come to a pool; it implements admitter.
type poolAdmitter struct {
	pool     *Pool
	decision admission.Decision // the newest one
}

func (a *poolAdmitter) admitNew(at Moment, spec *job.Spec, reserved job.CoreTime) error {
	return a.apply(a.pool.decide(at, spec, reserved))
}

func (a *poolAdmitter) admitReturned(at Moment, spec *job.Spec, useful time.Duration) error {
	d := a.pool.decideByBacklog(at, spec)
	if left := useful - at.Steady; !d.Rejected() && d.ExpectedEnd > left {
		d.Reason, d.Retry = admission.PoolFull, d.ExpectedEnd-left
	}
	return a.apply(d)
}

// apply records a decision and returns the error for one that rejects a job.
func (a *poolAdmitter) apply(d admission.Decision) error {
	a.decision = d
	if !d.Rejected() {
		return nil
	}
	return OverloadedError{Wait: d.Retry, Reason: d.Reason}
}

// decideByBacklog rejects a job if the work ahead of it, spread over the capacity that the pool has and can get, would end so late that
// nobody waits for the job any longer.
func (p *Pool) decideByBacklog(at Moment, spec *job.Spec) admission.Decision {
	capacity := p.obtainable
	for _, h := range p.workers {
		if h.listed && !h.ended && !h.info.Draining && !p.evacuated.Has(h.info.DataCentre) {
			capacity += h.info.Capacity.CPU
		}
	}
	if capacity == 0 {
		return admission.Decision{} // no workers are known yet
	}
	objective, chain := spec.Objective(), p.chain(spec)
	ahead := p.backlog(at.Steady + objective - chain)
	wait := ahead.TimeOn(capacity)
	d := admission.Decision{Share: capacity, Ahead: ahead, ExpectedEnd: wait + chain, Objective: objective}
	if objective > 0 && d.ExpectedEnd > lateFactor*objective {
		d.Reason, d.Retry = admission.PoolFull, wait
	}
	return d
}

// SetObtainable records how many thousandths of a core the pool can get in addition to its own, perhaps at the expense
// of other pools, and how many of them are already being moved to it.
func (p *Pool) SetObtainable(at Moment, cpu, incoming int) {
	p.obtainable, p.incoming, p.obtainableUntil = cpu, incoming, at.Steady+obtainableTTL
	p.admission.valid = false
}

// obtainableTTL is how long the values of SetObtainable are valid.
const obtainableTTL = time.Second

// backlog returns the work ahead of a job with the given latest start: the remaining work of all accepted jobs whose
// latest start is not later.
func (p *Pool) backlog(latest time.Duration) job.CoreTime {
	var sum job.CoreTime
	for _, e := range p.active {
		if e.job.State.Ended() {
			continue
		}
		for _, o := range e.job.Occurrences {
			if e.due-p.remainingChain(e, o) > latest {
				continue
			}
			for s := range o.Steps {
				step := &e.job.Spec.Steps[s]
				sum += job.WorkOn(o.Left(s)*step.CPU, p.expectedOf(e, s).mean)
			}
		}
	}
	return sum
}

// admissionTTL is how long the summary of the accepted work is used; accepted jobs are added to it meanwhile, and the pool counts as working
// on it. Building it takes 2 ms in a pool of 1,000 workers and 15,000 unfinished tasks.
const admissionTTL = 100 * time.Millisecond

// obtainableLead is the time until capacity can be used that has yet to be requested for the pool: a round of the
// autoscaler, and the move.
const obtainableLead = 2 * forecastLead

// admissionCache is the summary of what the pool has and has accepted.
type admissionCache struct {
	valid bool
	at    time.Duration
	state admission.State
	teams map[string]int // index in state.Teams

	shapes map[catalog.Resources]job.CoreTime // unfinished work by the CPU and memory of its tasks, without accelerators
}

// decide asks package admission about a job. The reserved work is that of callers of the job's team that were told to come back.
func (p *Pool) decide(at Moment, spec *job.Spec, reserved job.CoreTime) admission.Decision {
	c := p.admissionState(at)
	team, objective := p.admissionTeam(spec.Team), spec.Objective()
	c.state.Teams[team].Reserved = reserved
	defer func() { c.state.Teams[team].Reserved = 0 }()
	widest := 0
	for i := range spec.Steps {
		widest = max(widest, spec.Steps[i].CPU)
	}
	return admission.Decide(&c.state, &admission.Request{
		Team: team, Priority: spec.Policy.Priority, Due: at.Steady + objective, Work: p.work(spec), Chain: p.chain(spec),
		Widest: widest, Objective: objective,
	})
}

// admissionState returns the summary, which is built anew at most once in admissionTTL.
func (p *Pool) admissionState(at Moment) *admissionCache {
	c := &p.admission
	if c.valid && at.Steady-c.at < admissionTTL {
		c.state.Supply[0].From = c.at - at.Steady
		return c
	}
	*c = admissionCache{valid: true, at: at.Steady, teams: map[string]int{}, shapes: map[catalog.Resources]job.CoreTime{}}
	capacity := p.capacity(at)
	c.state.Supply = []admission.Supply{
		{CPU: capacity.now},
		{From: forecastLead, CPU: capacity.now + capacity.incoming},
		{From: obtainableLead, CPU: capacity.now + max(capacity.incoming, p.obtainable)},
	}
	for _, e := range p.active {
		if !e.job.State.Ended() {
			p.addPending(at, e)
		}
	}
	c.state.Efficiency = p.efficiency(c.shapes)
	return c
}

// efficiency returns the fraction of the workers' CPU that the unfinished work can use. Where most of it is tasks of one size,
// a part of each worker may be too small for one more: tasks of 1.5 cores use 3 of 4.
func (p *Pool) efficiency(shapes map[catalog.Resources]job.CoreTime) float64 {
	var largest catalog.Resources
	var total, most job.CoreTime
	for shape, work := range shapes {
		total += work
		if work > most {
			largest, most = shape, work
		}
	}
	if most <= total/2 {
		return packingEfficiency
	}
	capacity, usable := 0, 0
	for _, h := range p.workers {
		if !h.listed || h.ended {
			continue
		}
		fit := h.info.Capacity.CPU / largest.CPU
		if largest.MemoryMB > 0 {
			fit = min(fit, h.info.Capacity.MemoryMB/largest.MemoryMB)
		}
		capacity += h.info.Capacity.CPU
		usable += fit * largest.CPU
	}
	if usable == 0 {
		return packingEfficiency // no worker is large enough
	}
	// The other tasks use what these leave.
	return min(packingEfficiency, float64(total)*float64(usable)/(float64(most)*float64(capacity)))
}

// admissionTeam returns the index of a team in the summary.
func (p *Pool) admissionTeam(name string) int {
	c := &p.admission
	i, known := c.teams[name]
	if !known {
		i = len(c.state.Teams)
		c.teams[name] = i
		c.state.Teams = append(c.state.Teams, admission.Team{Weight: p.weight(name), Limit: p.team(name).limit.CPU})
	}
	return i
}

// addPending adds the unfinished work of an accepted job to the summary. Work of a job that can't be on time counts only as far as it
// runs, since the rest yields to jobs that can.
func (p *Pool) addPending(at Moment, e *entry) {
	spec := &e.job.Spec
	team := p.admissionTeam(spec.Team)
	for _, o := range e.job.Occurrences {
		due := e.due
		if spec.Times > 0 {
			due = at.Steady + o.Due(e.job, at.Wall) + spec.Objective()
		}
		waiting, running := p.unfinishedWork(at, e, o)
		if running > 0 {
			p.admission.state.Pending = append(p.admission.state.Pending,
				admission.Pending{Team: team, Priority: spec.Policy.Priority, Due: due, Work: running, Running: true})
		}
		if waiting > 0 {
			p.admission.state.Pending = append(p.admission.state.Pending,
				admission.Pending{Team: team, Priority: spec.Policy.Priority, Due: due, Work: waiting, Late: e.isLate()})
		}
	}
}

// unfinishedWork returns the work of an occurrence that waits, and what is expected to be left of what runs.
func (p *Pool) unfinishedWork(at Moment, e *entry, o *job.Occurrence) (waiting, running job.CoreTime) {
	for s := range o.Steps {
		step := &e.job.Spec.Steps[s]
		if step.LongRunning || o.Left(s) == 0 {
			continue
		}
		expected := p.expectedOf(e, s).mean
		if step.CPU > 0 {
			p.admission.shapes[catalog.Resources{CPU: step.CPU, MemoryMB: step.MemoryMB}] += job.WorkOn(o.Left(s)*step.CPU, expected)
		}
		for i := range o.Steps[s] {
			t := &o.Steps[s][i]
			if t.Done {
				continue
			}
			if r := p.runOf(t); r != nil {
				left := expected
				if r.began > 0 {
					left = max(left/8, left-(at.Steady-r.began))
				}
				running += job.WorkOn(step.CPU, left)
				continue
			}
			waiting += job.WorkOn(step.CPU, expected)
		}
	}
	return waiting, running
}
