package measure

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/trial"
)

// trialLength is the length of the load of one trial.
const trialLength = 20 * time.Second

// forEachDeployment runs one trial of every deployment and calls handle with its report.
func forEachDeployment(ctx context.Context, seed uint64, handle func(d trial.Deployment, report *trial.Report) error) error {
	for _, name := range []string{"tambuli", "tuul"} {
		d, err := trial.DeploymentOf(name)
		if err != nil {
			return errors.Trace(err)
		}
		report, err := runTrial(ctx, trial.Config{Deployment: d, Seed: seed})
		if err != nil {
			return err
		}
		if err := handle(d, report); err != nil {
			return err
		}
	}
	return nil
}

func runTrial(ctx context.Context, c trial.Config) (*trial.Report, error) {
	c.Length = trialLength
	report, err := trial.Run(ctx, c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !report.Passed() {
		return nil, errors.Errorf("guarantee violated in the trial of %s", c.Deployment.Name)
	}
	return report, nil
}

// Share measures how close teams come to their fair shares in a full fleet, for each order of service.
func Share(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "share", Workload: "a full fleet for 6 s of a 20 s load, each order on the same seeded load"}
	orders := []struct {
		name  string
		order queue.Order
	}{{"first come", queue.FirstCome{}}, {"fair", queue.Fair{}}}
	err := forEachDeployment(ctx, seed, func(d trial.Deployment, byDelayRatio *trial.Report) error {
		r.addShares(d.Name+", delay ratio: ", byDelayRatio)
		for _, o := range orders {
			report, err := runTrial(ctx, trial.Config{Deployment: d, Seed: seed, Order: o.order})
			if err != nil {
				return err
			}
			r.addShares(d.Name+", "+o.name+": ", report)
		}
		return nil
	})
	return r, err
}

func (r *Result) addShares(prefix string, report *trial.Report) {
	r.addFigure(prefix+"farthest team from its share", "% of the fleet", 100*maxDeviation(report.Shares)).setBaseline("target", 2)
	r.addFigure(prefix+"urgent start p99", "s", report.Urgent.P99)
	r.addFigure(prefix+"slots in use", "%", 100*report.InUse)
	r.addFigure(prefix+"answered", "", float64(report.Calls.Answered))
}

func maxDeviation(shares []trial.ShareMeasure) float64 {
	highest := 0.0
	for _, s := range shares {
		highest = max(highest, math.Abs(s.Actual-s.Fair))
	}
	return highest
}

// Buffer measures the cost and the benefit of the spare pool, compared with a spare pool of one instance.
func Buffer(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "buffer", Workload: "queues that burst in turn, a wave and an outage, 20 s"}
	err := forEachDeployment(ctx, seed, func(d trial.Deployment, full *trial.Report) error {
		oneSpare := d
		oneSpare.Spares = 1
		reduced, err := runTrial(ctx, trial.Config{Deployment: oneSpare, Seed: seed})
		if err != nil {
			return err
		}
		peak := float64(peakInstances(d)) * trialLength.Seconds()
		r.addFigure(d.Name+": held beyond pools' sizes", "instance-seconds", full.Buffer.InstanceSeconds).setBaseline("pools sized for the peak", peak)
		r.addFigure(d.Name+": moves", "", float64(full.Buffer.Moves)).setBaseline("one spare", float64(reduced.Buffer.Moves))
		r.addFigure(d.Name+": urgent start p99", "s", full.Urgent.P99).setBaseline("one spare", reduced.Urgent.P99)
		r.addFigure(d.Name+": not run", "", float64(full.Calls.NotRun)).setBaseline("one spare", float64(reduced.Calls.NotRun))
		return nil
	})
	return r, err
}

// peakInstances returns the number of additional instances that pools of fixed size would need for their bursts.
func peakInstances(d trial.Deployment) int {
	n := 0
	for _, p := range d.Pools {
		n += int(math.Ceil(float64(p.Workers) * (trial.PeakUtilization - 1)))
	}
	return n
}

// Rollout measures how long a configuration takes to be in force everywhere, and how long a wave takes.
func Rollout(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "rollout", Workload: "changes and a wave over all pools beside a 20 s load"}
	err := forEachDeployment(ctx, seed, func(d trial.Deployment, report *trial.Report) error {
		r.addFigure(d.Name+": in force everywhere p50", "s", report.Rollout.P50)
		r.addFigure(d.Name+": in force everywhere p99", "s", report.Rollout.P99).setBaseline("target", 3)
		r.addFigure(fmt.Sprintf("%s: wave of %d instances", d.Name, report.Wave.Instances), "s", report.Wave.Seconds).setBaseline("bound", report.Wave.Bound)
		return nil
	})
	return r, err
}

// Outage measures the work done while a data centre is out, and the requests answered while a data centre is cut off
// from the platform.
func Outage(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "outage", Workload: "a data centre taken out for 3.4 s of a 20 s load"}
	cutOff, err := trial.FaultOf("cut-platform")
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = forEachDeployment(ctx, seed, func(d trial.Deployment, report *trial.Report) error {
		r.addFigure(d.Name+": work done while out", "% of possible", 100*report.Outage.Done/report.Outage.Possible).setBaseline("target", 98)
		cut, err := runTrial(ctx, trial.Config{Deployment: d, Seed: seed, Faults: []trial.Fault{cutOff}})
		if err != nil {
			return err
		}
		r.addFigure(d.Name+": answered with a data centre cut off from the platform", "%", 100*float64(cut.Calls.Answered)/float64(cut.Calls.Sent)).
			setBaseline("without the cut", 100*float64(report.Calls.Answered)/float64(report.Calls.Sent))
		return nil
	})
	return r, err
}
