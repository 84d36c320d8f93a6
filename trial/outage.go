package trial

import (
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/standin"
)

// fluidStep is the step in which the work that capacity allows is added up.
const fluidStep = 20 * time.Millisecond

// outage compares the work done while the data centre was out with what the remaining workers could
// have done of the work that was there at each moment.
func (t *Trial) outage(e Evidence) OutageMeasure {
	from := eventAt(e, "out")
	to := eventAt(e, "back")
	if from.IsZero() || to.IsZero() {
		return OutageMeasure{}
	}
	rest := float64(len(t.fleet.Deployment.DataCentres)-1) / float64(len(t.fleet.Deployment.DataCentres))
	return OutageMeasure{
		Done:     workDone(e.Runs, from, to),
		Possible: t.possible(e, from, to, rest),
	}
}

func workDone(runs []standin.Run, from, to time.Time) float64 {
	done := 0.0
	for _, run := range runs {
		done += overlap(run.Started, run.Ended, from, to)
	}
	return done
}

// possible adds up, step by step, the work that a part of the workers could do: each queue's pool
// first, and the spare workers for whatever is left. A request offers its work over as long as it runs.
func (t *Trial) possible(e Evidence, from, to time.Time, part float64) float64 {
	d := t.fleet.Deployment
	steps := int(to.Sub(from)/fluidStep) + 1
	offered := map[id.Queue][]float64{}
	for _, p := range d.Pools {
		offered[p.Queue] = make([]float64, steps)
	}
	ran := runsByBody(e.Runs)
	for _, c := range e.Calls {
		left := c.Work - time.Duration(workDone(ran[c.Body], time.Time{}, from)*float64(time.Second))
		if c.Sent.After(to) || c.Done.Before(from) || left <= 0 {
			continue
		}
		offer(offered[c.Queue], c.Sent.Sub(from), left)
	}
	total := 0.0
	backlog := map[id.Queue]float64{}
	for step := range steps {
		spare := float64(d.Spares*d.Slots) * fluidStep.Seconds() * part
		for _, p := range d.Pools {
			backlog[p.Queue] += offered[p.Queue][step]
			done := min(backlog[p.Queue], float64(p.Workers*d.Slots)*fluidStep.Seconds()*part)
			extra := min(backlog[p.Queue]-done, spare)
			spare -= extra
			backlog[p.Queue] -= done + extra
			total += done + extra
		}
	}
	return total
}

// offer spreads work over the steps in which it could run, from a time on that may lie before the
// first step.
func offer(steps []float64, at, work time.Duration) {
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
