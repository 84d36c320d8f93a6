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

// Report is what a trial found.
type Report struct {
	Deployment string         `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Calls      Counts         `json:"calls"`
	Verdicts   []Verdict      `json:"verdicts"`
	Urgent     Quantiles      `json:"urgent"`  // seconds until an urgent request started
	Shares     []ShareMeasure `json:"shares"`  // while the whole fleet was full
	InUse      float64        `json:"inuse"`   // part of all slots in use meanwhile
	Rollout    Quantiles      `json:"rollout"` // seconds until a version was in force everywhere
	Wave       WaveMeasure    `json:"wave"`
	Buffer     BufferMeasure  `json:"buffer"`
	Outage     OutageMeasure  `json:"outage"`
}

// Counts is how requests ended.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	Lost     int `json:"lost"`
}

// Quantiles describes a set of values.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// ShareMeasure compares what a team had of a full fleet with what it should have.
type ShareMeasure struct {
	Team   id.Team `json:"team"`
	Had    float64 `json:"had"`    // part of the slots in use
	Should float64 `json:"should"` // part by share, demand and limit
}

// WaveMeasure is how long a maintenance wave took against what budget and reboot time allow.
type WaveMeasure struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Bound     float64 `json:"bound"`
}

// BufferMeasure is the cost of spare instances.
type BufferMeasure struct {
	Moves           int     `json:"moves"`
	InstanceSeconds float64 `json:"seconds"` // spent in pools above their size
}

// OutageMeasure is the work done while a data centre was out.
type OutageMeasure struct {
	Done     float64 `json:"done"`     // seconds of work started
	Possible float64 `json:"possible"` // seconds of work offered, at most what the rest could do
}

// Passed reports whether every promise held.
func (r *Report) Passed() bool {
	for _, v := range r.Verdicts {
		if len(v.Broken) > 0 {
			return false
		}
	}
	return true
}

// report checks the promises and works out the measures.
func (t *Trial) report(began, ended time.Time) (*Report, error) {
	e, err := t.evidence()
	if err != nil {
		return nil, err
	}
	r := &Report{Deployment: t.config.Deployment.Name, Seed: t.config.Seed, Verdicts: Check(e)}
	r.Calls = count(e.Calls)
	r.Urgent = quantiles(urgentWaits(e))
	r.Rollout = quantiles(seconds(t.rollouts))
	full := began.Add(time.Duration(float64(t.config.Length) * fullFrom))
	r.Shares = t.shares(e.Runs, full.Add(settle), began.Add(t.config.Length))
	r.InUse = t.inUse(e.Runs, full.Add(settle), began.Add(t.config.Length))
	r.Wave = t.waveMeasure(e)
	r.Buffer = t.buffer(e, ended)
	r.Outage = t.outage(e)
	return r, nil
}

func seconds(spans []time.Duration) []float64 {
	values := make([]float64, 0, len(spans))
	for _, d := range spans {
		values = append(values, d.Seconds())
	}
	return values
}

// settle is the time that a full fleet is given before shares are measured.
const settle = time.Second

func count(calls []Call) Counts {
	c := Counts{Sent: len(calls)}
	for _, call := range calls {
		switch {
		case call.Lost != "":
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
	at := func(part float64) float64 { return values[int(part*float64(len(values)-1))] }
	q.P50, q.P99, q.Max = at(.5), at(.99), at(1)
	return q
}

func urgentWaits(e Evidence) []float64 {
	ran := runsByBody(e.Runs)
	var waits []float64
	for _, c := range e.Calls {
		if runs := ran[c.Body]; c.Class == queue.Urgent && len(runs) > 0 {
			waits = append(waits, runs[0].Started.Sub(c.Sent).Seconds())
		}
	}
	return waits
}

// shares compares the slot time that teams had in a window with what they should have had.
func (t *Trial) shares(runs []standin.Run, from, to time.Time) []ShareMeasure {
	had := map[id.Team]float64{}
	total := 0.0
	for _, run := range runs {
		if isGuest(run.Body) {
			continue
		}
		span := overlap(run.Started, run.Ended, from, to)
		had[run.Team] += span
		total += span
	}
	should := t.fair()
	measures := make([]ShareMeasure, 0, len(should))
	for _, team := range t.fleet.Deployment.Teams {
		measures = append(measures, ShareMeasure{Team: team.Team, Had: had[team.Team] / max(total, 1e-9), Should: should[team.Team]})
	}
	return measures
}

// inUse returns the part of all slots that was in use in a window.
func (t *Trial) inUse(runs []standin.Run, from, to time.Time) float64 {
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

// fair returns each team's part of a full fleet: by share, but never above its demand or limit.
func (t *Trial) fair() map[id.Team]float64 {
	d := t.fleet.Deployment
	slots := 0.0
	for _, p := range d.Pools {
		slots += float64(p.Workers * d.Slots)
	}
	all := slots + float64(d.Spares*d.Slots)
	left := all
	part := map[id.Team]float64{}
	open := append([]TeamShape(nil), d.Teams...)
	for len(open) > 0 {
		shares := 0
		for _, team := range open {
			shares += team.Share
		}
		var still []TeamShape
		capped := left
		for _, team := range open {
			most := min(float64(team.Limit), team.Weight*meanUse*fullFactor*slots)
			if most <= left*float64(team.Share)/float64(shares) {
				part[team.Team] = most
				capped -= most
			} else {
				still = append(still, team)
			}
		}
		if len(still) == len(open) {
			for _, team := range still {
				part[team.Team] = left * float64(team.Share) / float64(shares)
			}
			capped = 0
			still = nil
		}
		left = capped
		open = still
	}
	total := 0.0
	for _, n := range part {
		total += n
	}
	for team := range part {
		part[team] /= total
	}
	return part
}

func (t *Trial) waveMeasure(e Evidence) WaveMeasure {
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

func (t *Trial) buffer(e Evidence, ended time.Time) BufferMeasure {
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

// Print writes the report for a person.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	row("\nPROMISE\tCASES\tBROKEN")
	for _, v := range r.Verdicts {
		row("%s\t%d\t%d", v.Promise, v.Looked, len(v.Broken))
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
		row("%s\t%.1f%%\t%.1f%%", s.Team, 100*s.Had, 100*s.Should)
	}
	_ = w.Flush()
	for _, v := range r.Verdicts {
		for i, b := range v.Broken {
			if i == maxShown {
				_, _ = fmt.Fprintf(out, "broken: ... and %d more\n", len(v.Broken)-maxShown)
				break
			}
			_, _ = fmt.Fprintf(out, "broken: %s: %s\n", v.Promise, b)
		}
	}
}

// maxShown bounds the breaches of one promise that are printed.
const maxShown = 5
