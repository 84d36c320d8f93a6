package trial

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/standin"
)

// Report is the result of a trial.
type Report struct {
	Deployment string         `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Calls      Counts         `json:"calls"`
	Verdicts   []Verdict      `json:"verdicts"`
	Urgent     Quantiles      `json:"urgent"`  // seconds until an urgent request started
	Shares     []ShareMeasure `json:"shares"`  // measured while the whole fleet was full
	InUse      float64        `json:"inuse"`   // fraction of all slots in use while the whole fleet was full
	Rollout    Quantiles      `json:"rollout"` // seconds until a version was in force everywhere
	Wave       WaveMeasure    `json:"wave"`
	Buffer     BufferMeasure  `json:"buffer"`
	Outage     OutageMeasure  `json:"outage"`
}

// Counts is the number of requests by outcome.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
}

// Quantiles describes the distribution of a set of values.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// ShareMeasure compares a team's actual fraction of a full fleet with its fair share.
type ShareMeasure struct {
	Team   id.Team `json:"team"`
	Actual float64 `json:"had"`    // fraction of the slots in use
	Fair   float64 `json:"should"` // fair fraction by share, demand and limit
}

// WaveMeasure compares the duration of a maintenance wave with the bound given by budgets and the reboot time.
type WaveMeasure struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Bound     float64 `json:"bound"`
}

// BufferMeasure is the cost of spare instances.
type BufferMeasure struct {
	Moves           int     `json:"moves"`
	InstanceSeconds float64 `json:"seconds"` // time that borrowed spare instances spent in other pools
}

// OutageMeasure compares the work done while a data centre was out with the work that was possible.
type OutageMeasure struct {
	Done     float64 `json:"done"`     // seconds of work done
	Possible float64 `json:"possible"` // seconds of work offered, limited by the remaining capacity
}

// Passed reports whether every guarantee held.
func (r *Report) Passed() bool {
	for _, v := range r.Verdicts {
		if len(v.Violations) > 0 {
			return false
		}
	}
	return true
}

// report checks the guarantees and computes the measures.
func (t *Trial) report(began, ended time.Time) (*Report, error) {
	e, err := t.evidence()
	if err != nil {
		return nil, err
	}
	r := &Report{Deployment: t.config.Deployment.Name, Seed: t.config.Seed, Verdicts: Check(e)}
	r.Calls = countOutcomes(e.Calls)
	r.Urgent = quantiles(urgentWaits(e))
	r.Rollout = quantiles(seconds(t.rollouts))
	full := began.Add(time.Duration(float64(t.config.Length) * overloadFrom))
	r.Shares = t.measureShares(e.Runs, full.Add(settleTime), began.Add(t.config.Length))
	r.InUse = t.slotUtilization(e.Runs, full.Add(settleTime), began.Add(t.config.Length))
	r.Wave = t.measureWave(e)
	r.Buffer = t.measureBuffer(e, ended)
	r.Outage = t.measureOutage(e)
	return r, nil
}

func seconds(spans []time.Duration) []float64 {
	values := make([]float64, 0, len(spans))
	for _, d := range spans {
		values = append(values, d.Seconds())
	}
	return values
}

// settleTime is the time between the start of the overload and the start of the measurement of shares.
const settleTime = time.Second

func countOutcomes(calls []Call) Counts {
	c := Counts{Sent: len(calls)}
	for _, call := range calls {
		switch {
		case call.LossReason != "":
			c.Lost++
		case call.Outcome == "not run":
			c.NotRun++
		case isProblem(call):
			c.Unknown++
		default:
			c.Answered++
		}
	}
	return c
}

func quantiles(values []float64) Quantiles {
	q := Quantiles{Count: len(values)}
	if len(values) == 0 {
		return q
	}
	sort.Float64s(values)
	at := func(fraction float64) float64 { return values[int(fraction*float64(len(values)-1))] }
	q.P50, q.P99, q.Max = at(.5), at(.99), at(1)
	return q
}

func urgentWaits(e Evidence) []float64 {
	byBody := runsByBody(e.Runs)
	var waits []float64
	for _, c := range e.Calls {
		if runs := byBody[c.Body]; c.Class == queue.Urgent && len(runs) > 0 {
			waits = append(waits, runs[0].Started.Sub(c.Sent).Seconds())
		}
	}
	return waits
}

// measureShares compares the slot time that teams used in a time window with their fair shares.
func (t *Trial) measureShares(runs []standin.Run, from, to time.Time) []ShareMeasure {
	actual := map[id.Team]float64{}
	total := 0.0
	for _, run := range runs {
		if isGuestBody(run.Body) {
			continue
		}
		span := overlap(run.Started, run.Ended, from, to)
		actual[run.Team] += span
		total += span
	}
	fair := t.fairShares()
	measures := make([]ShareMeasure, 0, len(fair))
	for _, team := range t.fleet.Deployment.Teams {
		measures = append(measures, ShareMeasure{Team: team.Team, Actual: actual[team.Team] / max(total, 1e-9), Fair: fair[team.Team]})
	}
	return measures
}

// slotUtilization returns the fraction of all slots that was in use in a time window.
func (t *Trial) slotUtilization(runs []standin.Run, from, to time.Time) float64 {
	slots := len(t.fleet.Endpoints) * t.fleet.Deployment.Slots
	return workDone(runs, from, to) / (float64(slots) * to.Sub(from).Seconds())
}

func overlap(from, to, start, end time.Time) float64 {
	if from.Before(start) {
		from = start
	}
	if to.IsZero() || to.After(end) {
		to = end
	}
	return max(0, to.Sub(from).Seconds())
}

// fairShares returns each team's fair fraction of a full fleet: proportional to its share, but never above its
// demand or limit (max-min fair shares with weights).
func (t *Trial) fairShares() map[id.Team]float64 {
	d := t.fleet.Deployment
	slots := 0.0
	for _, p := range d.Pools {
		slots += float64(p.Workers * d.Slots)
	}
	all := slots + float64(d.Spares*d.Slots)
	left := all
	fractions := map[id.Team]float64{}
	uncapped := append([]TeamShape(nil), d.Teams...)
	for len(uncapped) > 0 {
		shares := 0
		for _, team := range uncapped {
			shares += team.Share
		}
		var next []TeamShape
		unassigned := left
		for _, team := range uncapped {
			ceiling := min(float64(team.Limit), team.Weight*meanUtilization*overloadFactor*slots)
			if ceiling <= left*float64(team.Share)/float64(shares) {
				fractions[team.Team] = ceiling
				unassigned -= ceiling
			} else {
				next = append(next, team)
			}
		}
		if len(next) == len(uncapped) {
			for _, team := range next {
				fractions[team.Team] = left * float64(team.Share) / float64(shares)
			}
			unassigned = 0
			next = nil
		}
		left = unassigned
		uncapped = next
	}
	total := 0.0
	for _, n := range fractions {
		total += n
	}
	for team := range fractions {
		fractions[team] /= total
	}
	return fractions
}

func (t *Trial) measureWave(e Evidence) WaveMeasure {
	var m WaveMeasure
	started := eventAt(e, "wave")
	var last time.Time
	perPool := map[id.Pool]int{}
	for _, g := range e.Drains {
		if g.Reason != fleet.ForReboot {
			continue
		}
		m.Instances++
		perPool[g.Pool]++
		if g.Ended.After(last) {
			last = g.Ended
		}
	}
	if m.Instances > 0 && !last.IsZero() {
		m.Seconds = last.Sub(started).Seconds()
	}
	for _, p := range t.fleet.Deployment.Pools {
		rounds := (perPool[p.Pool] + p.Budget - 1) / p.Budget
		m.Bound = max(m.Bound, float64(rounds)*(reboot+p.Task*3/2).Seconds())
	}
	return m
}

func (t *Trial) measureBuffer(e Evidence, ended time.Time) BufferMeasure {
	var m BufferMeasure
	borrowed := map[id.Instance]time.Time{}
	for _, g := range e.Drains {
		if g.Reason != fleet.ForMove {
			continue
		}
		m.Moves++
		if g.Pool == sparePool {
			borrowed[g.Instance] = g.At
			continue
		}
		if at, ok := borrowed[g.Instance]; ok {
			m.InstanceSeconds += g.At.Sub(at).Seconds()
			delete(borrowed, g.Instance)
		}
	}
	for _, at := range borrowed {
		m.InstanceSeconds += ended.Sub(at).Seconds()
	}
	return m
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	row("\nPROMISE\tCASES\tBROKEN")
	for _, v := range r.Verdicts {
		row("%s\t%d\t%d", v.Guarantee, v.Cases, len(v.Violations))
	}
	row("\nREQUESTS\tsent %d\tanswered %d, not run %d, unknown %d, lost %d", r.Calls.Sent, r.Calls.Answered, r.Calls.NotRun, r.Calls.Unknown, r.Calls.Lost)
	row("urgent start\tp50 %.3fs, p99 %.3fs\tmax %.3fs", r.Urgent.P50, r.Urgent.P99, r.Urgent.Max)
	row("roll-out\tp50 %.3fs, p99 %.3fs\tmax %.3fs", r.Rollout.P50, r.Rollout.P99, r.Rollout.Max)
	row("wave\t%d instances in %.1fs\tbound %.1fs", r.Wave.Instances, r.Wave.Seconds, r.Wave.Bound)
	row("buffer\t%d moves\t%.1f instance-seconds", r.Buffer.Moves, r.Buffer.InstanceSeconds)
	row("work while out\t%.1fs of %.1fs\t%.1f%%", r.Outage.Done, r.Outage.Possible, 100*r.Outage.Done/max(r.Outage.Possible, 1e-9))
	row("full fleet\t%.1f%% of slots in use\t", 100*r.InUse)
	row("\nTEAM\tHAD\tSHOULD HAVE, OF A FULL FLEET")
	for _, s := range r.Shares {
		row("%s\t%.1f%%\t%.1f%%", s.Team, 100*s.Actual, 100*s.Fair)
	}
	_ = w.Flush()
	for _, v := range r.Verdicts {
		for i, violation := range v.Violations {
			if i == maxShown {
				_, _ = fmt.Fprintf(out, "broken: ... and %d more\n", len(v.Violations)-maxShown)
				break
			}
			_, _ = fmt.Fprintf(out, "broken: %s: %s\n", v.Guarantee, violation)
		}
	}
}

// maxShown bounds the number of violations that are printed for one guarantee.
const maxShown = 5
