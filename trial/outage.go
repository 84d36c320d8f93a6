package trial

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/standin"
)

// fluidStep is the time step of the simulation that adds up the work that the capacity allows.
const fluidStep = 20 * time.Millisecond

// measureOutage compares the work done while the data centre was out with the work that the remaining workers
// could have done, given the work that was available at each moment.
func (t *Trial) measureOutage(e Evidence) OutageMeasure {
	from := eventAt(e, "out")
	to := eventAt(e, "back")
	if from.IsZero() || to.IsZero() {
		return OutageMeasure{}
	}
	remaining := float64(len(t.fleet.Deployment.DataCentres)-1) / float64(len(t.fleet.Deployment.DataCentres))
	return OutageMeasure{
		Done:     workDone(e.Runs, from, to),
		Possible: t.possibleWork(e, from, to, remaining),
	}
}

func workDone(runs []standin.Run, from, to time.Time) float64 {
	done := 0.0
	for _, run := range runs {
		done += overlap(run.Started, run.Ended, from, to)
	}
	return done
}

// possibleWork adds up, step by step, the work in seconds that a fraction of the workers could do: first each
// queue's pool, then the spare workers for the remainder. A request offers its work spread over its run time.
func (t *Trial) possibleWork(e Evidence, from, to time.Time, fraction float64) float64 {
	d := t.fleet.Deployment
	steps := int(to.Sub(from)/fluidStep) + 1
	offered := map[id.Queue][]float64{}
	for _, p := range d.Pools {
		offered[p.Queue] = make([]float64, steps)
	}
	byBody := runsByBody(e.Runs)
	for _, c := range e.Calls {
		left := c.Work - time.Duration(workDone(byBody[c.Body], time.Time{}, from)*float64(time.Second))
		if c.Sent.After(to) || c.Done.Before(from) || left <= 0 {
			continue
		}
		addOffered(offered[c.Queue], c.Sent.Sub(from), left)
	}
	total := 0.0
	backlog := map[id.Queue]float64{}
	for step := range steps {
		spare := float64(d.Spares*d.Slots) * fluidStep.Seconds() * fraction
		for _, p := range d.Pools {
			backlog[p.Queue] += offered[p.Queue][step]
			done := min(backlog[p.Queue], float64(p.Workers*d.Slots)*fluidStep.Seconds()*fraction)
			extra := min(backlog[p.Queue]-done, spare)
			spare -= extra
			backlog[p.Queue] -= done + extra
			total += done + extra
		}
	}
	return total
}

// addOffered spreads work over the steps in which it could run, from a time on. A time before the first step counts
// as the first step.
func addOffered(steps []float64, at, work time.Duration) {
	at = max(at, 0)
	for work > 0 {
		step := int(at / fluidStep)
		if step >= len(steps) {
			return
		}
		span := min(work, time.Duration(step+1)*fluidStep-at)
		steps[step] += span.Seconds()
		at += span
		work -= span
	}
}
