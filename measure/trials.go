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

// trialLength is the length of one trial's load.
const trialLength = 20 * time.Second

// each runs one trial of every deployment and hands its report on.
func each(ctx context.Context, seed uint64, take func(d trial.Deployment, report *trial.Report) error) error {
	for _, name := range []string{"tambuli", "tuul"} {
		d, err := trial.DeploymentOf(name)
		if err != nil {
			return errors.Trace(err)
		}
		report, err := runTrial(ctx, trial.Config{Deployment: d, Seed: seed})
		if err != nil {
			return err
		}
		if err := take(d, report); err != nil {
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
		return nil, errors.Errorf("a promise was broken in the trial of %s", c.Deployment.Name)
	}
	return report, nil
}

// Share measures how near teams come to their shares in a full fleet, for each order of service.
func Share(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "share", Workload: "a full fleet for 6 s of a 20 s load, each order on the same seeded load"}
	others := []struct {
		name  string
		order queue.Order
	}{{"first come", queue.FirstCome{}}, {"fair", queue.Fair{}}}
	err := each(ctx, seed, func(d trial.Deployment, usual *trial.Report) error {
		r.addShares(d.Name+", delay ratio: ", usual)
		for _, o := range others {
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

func (r *Result) addShares(at string, report *trial.Report) {
	r.add(at+"farthest team from its share", "% of the fleet", 100*farthest(report.Shares)).against("target", 2)
	r.add(at+"urgent start p99", "s", report.Urgent.P99)
	r.add(at+"slots in use", "%", 100*report.InUse)
	r.add(at+"answered", "", float64(report.Calls.Answered))
}

func farthest(shares []trial.ShareMeasure) float64 {
	most := 0.0
	for _, s := range shares {
		most = max(most, math.Abs(s.Actual-s.Fair))
	}
	return most
}

// Buffer measures what the spare pool costs and brings, against pools without it.
func Buffer(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "buffer", Workload: "queues that burst in turn, a wave and an outage, 20 s"}
	err := each(ctx, seed, func(d trial.Deployment, with *trial.Report) error {
		bare := d
		bare.Spares = 1
		without, err := runTrial(ctx, trial.Config{Deployment: bare, Seed: seed})
		if err != nil {
			return err
		}
		peak := float64(peakInstances(d)) * trialLength.Seconds()
		r.add(d.Name+": held beyond pools' sizes", "instance-seconds", with.Buffer.InstanceSeconds).against("pools sized for the peak", peak)
		r.add(d.Name+": moves", "", float64(with.Buffer.Moves)).against("one spare", float64(without.Buffer.Moves))
		r.add(d.Name+": urgent start p99", "s", with.Urgent.P99).against("one spare", without.Urgent.P99)
		r.add(d.Name+": not run", "", float64(with.Calls.NotRun)).against("one spare", float64(without.Calls.NotRun))
		return nil
	})
	return r, err
}

// peakInstances returns how many more instances fixed pools would need for every burst.
func peakInstances(d trial.Deployment) int {
	n := 0
	for _, p := range d.Pools {
		n += int(math.Ceil(float64(p.Workers) * (trial.PeakUtilization - 1)))
	}
	return n
}

// Rollout measures how long a configuration takes to be in force everywhere, and a wave.
func Rollout(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "rollout", Workload: "changes and a wave over all pools beside a 20 s load"}
	err := each(ctx, seed, func(d trial.Deployment, report *trial.Report) error {
		r.add(d.Name+": in force everywhere p50", "s", report.Rollout.P50)
		r.add(d.Name+": in force everywhere p99", "s", report.Rollout.P99).against("target", 3)
		r.add(fmt.Sprintf("%s: wave of %d instances", d.Name, report.Wave.Instances), "s", report.Wave.Seconds).against("bound", report.Wave.Bound)
		return nil
	})
	return r, err
}

// Outage measures the work done while a data centre is out, and while one is cut off from the platform.
func Outage(ctx context.Context, seed uint64) (*Result, error) {
	r := &Result{Name: "outage", Workload: "a data centre taken out for 3.4 s of a 20 s load"}
	cutOff, err := trial.FaultOf("cut-platform")
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = each(ctx, seed, func(d trial.Deployment, report *trial.Report) error {
		r.add(d.Name+": work done while out", "% of possible", 100*report.Outage.Done/report.Outage.Possible).against("target", 98)
		cut, err := runTrial(ctx, trial.Config{Deployment: d, Seed: seed, Faults: []trial.Fault{cutOff}})
		if err != nil {
			return err
		}
		r.add(d.Name+": answered with a data centre cut off from the platform", "%", 100*float64(cut.Calls.Answered)/float64(cut.Calls.Sent)).
			against("without the cut", 100*float64(report.Calls.Answered)/float64(report.Calls.Sent))
		return nil
	})
	return r, err
}
