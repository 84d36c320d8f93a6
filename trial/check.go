package trial

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/standin"
)

// within is the time in which a restriction or configuration must be in force.
const within = 3 * time.Second

// within returns how soon a restriction must be in force in a data centre: later only where the
// data centre is cut off from everything and operators let it go on alone for a while.
func (e Evidence) within(dc id.DataCentre) time.Duration {
	if e.Alone > 0 && dc == e.Cut {
		return within + e.Alone
	}
	return within
}

// Verdict is how one promise fared.
type Verdict struct {
	Promise string
	Looked  int      // cases looked at
	Broken  []string // what broke it
}

func (v *Verdict) broken(format string, args ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
}

// Check checks every promise against evidence.
func Check(e Evidence) []Verdict {
	return []Verdict{
		checkBudgets(e),
		checkOnePool(e),
		checkKeys(e),
		checkLimits(e),
		checkOuts(e),
		checkAnswers(e),
		checkNotRun(e),
		checkOnce(e),
		checkLeaving(e),
		checkGraceful(e),
		checkVersions(e),
		checkLost(e),
	}
}

func checkBudgets(e Evidence) Verdict {
	v := Verdict{Promise: "every availability budget holds", Looked: len(e.Drains)}
	for _, g := range e.Drains {
		if g.Reason != fleet.ForLeave && g.Serving < g.Need {
			v.broken("drain of %s left %d of %s serving, %d needed", g.Instance, g.Serving, g.Pool, g.Need)
		}
	}
	for _, r := range e.Reboots {
		v.Looked++
		if !granted(e.Drains, r) {
			v.broken("%s was rebooted though its budget did not grant it", r.Instance)
		}
	}
	return v
}

// granted reports whether a reboot took place while a drain that the log granted was in progress.
func granted(drains []Granted, r standin.Rebooted) bool {
	for _, g := range drains {
		if g.Instance == r.Instance && g.At.Before(r.At) && (g.Ended.IsZero() || r.At.Before(g.Ended)) {
			return true
		}
	}
	return false
}

// checkOnePool looks for a worker that ran work of two pools at once.
func checkOnePool(e Evidence) Verdict {
	v := Verdict{Promise: "an instance belongs to exactly one pool"}
	byInstance := map[id.Instance][]standin.Run{}
	for _, run := range e.Runs {
		byInstance[run.Instance] = append(byInstance[run.Instance], run)
	}
	for instance, runs := range byInstance {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
		until := map[id.Pool]time.Time{}
		for _, run := range runs {
			v.Looked++
			pool := e.Pools[run.Queue]
			for other, end := range until {
				if other != pool && end.After(run.Started) {
					v.broken("%s ran work of pools %s and %s at once", instance, pool, other)
				}
			}
			if run.Ended.After(until[pool]) {
				until[pool] = run.Ended
			}
		}
	}
	return v
}

func checkKeys(e Evidence) Verdict {
	v := Verdict{Promise: "a key works for its team and queues only, and not once withdrawn"}
	withdrawn := eventAt(e, "withdraw")
	ran := runsByBody(e.Runs)
	for _, c := range e.Guests {
		v.Looked++
		for _, run := range ran[c.Body] {
			if c.Queue != "guests" {
				v.broken("%s ran in queue %s without a right to it", c.ID, c.Queue)
			}
			if run.Team != GuestTeam {
				v.broken("%s counted for team %s", c.ID, run.Team)
			}
			if !withdrawn.IsZero() && run.Started.After(withdrawn.Add(e.within(run.DataCentre))) {
				v.broken("%s started %s after its key was withdrawn", c.ID, run.Started.Sub(withdrawn))
			}
		}
	}
	for _, c := range e.Calls {
		v.Looked++
		for _, run := range ran[c.Body] {
			if run.Team != c.Team {
				v.broken("%s of team %s counted for %s", c.ID, c.Team, run.Team)
			}
		}
	}
	return v
}

// edge is a start or an end of a run.
type edge struct {
	at    time.Time
	delta int
}

func checkLimits(e Evidence) Verdict {
	v := Verdict{Promise: "no team has more running than its upper limit"}
	for _, team := range e.Limits {
		var edges []edge
		for _, run := range e.Runs {
			if run.Team != team.Team {
				continue
			}
			v.Looked++
			edges = append(edges, edge{at: run.Started, delta: 1})
			if !run.Ended.IsZero() {
				edges = append(edges, edge{at: run.Ended, delta: -1})
			}
		}
		if most := peak(edges); most > team.Limit {
			v.broken("team %s had %d running, its limit is %d", team.Team, most, team.Limit)
		}
	}
	return v
}

// peak returns the highest sum of edges in order of time; an end comes before a start at one time.
func peak(edges []edge) int {
	sort.Slice(edges, func(i, j int) bool {
		if !edges[i].at.Equal(edges[j].at) {
			return edges[i].at.Before(edges[j].at)
		}
		return edges[i].delta < edges[j].delta
	})
	most, sum := 0, 0
	for _, x := range edges {
		sum += x.delta
		most = max(most, sum)
	}
	return most
}

func checkOuts(e Evidence) Verdict {
	v := Verdict{Promise: "no task starts in a data centre that was taken out"}
	out := eventAt(e, "out")
	back := eventAt(e, "back")
	if out.IsZero() {
		return v
	}
	for _, run := range e.Runs {
		if run.DataCentre != e.Out {
			continue
		}
		v.Looked++
		if run.Started.After(out.Add(e.within(run.DataCentre))) && (back.IsZero() || run.Started.Before(back)) {
			v.broken("%s started in %s %s after it was taken out", run.Body, run.DataCentre, run.Started.Sub(out))
		}
	}
	return v
}

func checkAnswers(e Evidence) Verdict {
	v := Verdict{Promise: "a caller gets the whole answer to its own request"}
	for _, c := range e.Calls {
		v.Looked++
		if c.Lost == "" && c.Outcome == "" && c.Status == 200 && !c.Whole {
			v.broken("%s got a wrong or short answer", c.ID)
		}
	}
	return v
}

func checkNotRun(e Evidence) Verdict {
	v := Verdict{Promise: "a refusal saying not run is true"}
	ran := runsByBody(e.Runs)
	for _, c := range append(append([]Call(nil), e.Calls...), e.Guests...) {
		if c.Outcome != caller.NotRun {
			continue
		}
		v.Looked++
		if len(ran[c.Body]) > 0 {
			v.broken("%s was refused as not run and ran %d times", c.ID, len(ran[c.Body]))
		}
	}
	return v
}

func checkOnce(e Evidence) Verdict {
	v := Verdict{Promise: "a non-idempotent request runs at most once"}
	repeats := id.Set[string]{}
	for _, c := range e.Calls {
		if c.Repeats {
			repeats.Add(c.Body)
		}
	}
	for body, runs := range runsByBody(e.Runs) {
		v.Looked++
		if len(runs) > 1 && !repeats.Has(body) {
			v.broken("%q ran %d times", body, len(runs))
		}
	}
	return v
}

func checkLeaving(e Evidence) Verdict {
	v := Verdict{Promise: "a leaving endpoint gets no new work"}
	byInstance := map[id.Instance][]standin.Run{}
	for _, run := range e.Runs {
		byInstance[run.Instance] = append(byInstance[run.Instance], run)
	}
	for _, g := range e.Drains {
		v.Looked++
		for _, run := range byInstance[g.Instance] {
			ended := g.Ended.IsZero() || run.Started.Before(g.Ended)
			if run.Started.After(g.At.Add(e.within(run.DataCentre))) && ended {
				v.broken("%s started on %s %s after its drain", run.Body, g.Instance, run.Started.Sub(g.At))
			}
		}
	}
	return v
}

func checkGraceful(e Evidence) Verdict {
	v := Verdict{Promise: "every planned stop cuts off no request"}
	for _, run := range e.Runs {
		v.Looked++
		if run.CutOff && !e.Faulty.Has(run.Instance) {
			v.broken("%s was cut off on %s", run.Body, run.Instance)
		}
	}
	return v
}

func checkVersions(e Evidence) Verdict {
	v := Verdict{Promise: "a configuration is in force in seconds and never reverts", Looked: len(e.Versions) + len(e.Rollouts)}
	for _, took := range e.Rollouts {
		if took > within {
			v.broken("a version took %s to be in force", took)
		}
	}
	newest := map[id.Member]int{}
	for _, seen := range e.Versions {
		if seen.Version < newest[seen.Member] {
			v.broken("%s went from version %d to %d", seen.Member, newest[seen.Member], seen.Version)
		}
		newest[seen.Member] = seen.Version
	}
	for _, event := range e.Events {
		if strings.HasPrefix(event.Name, "failed: ") {
			v.broken("%s", event.Name)
		}
	}
	return v
}

func checkLost(e Evidence) Verdict {
	v := Verdict{Promise: "no request is lost"}
	for _, c := range e.Calls {
		v.Looked++
		if c.Lost != "" && !e.MayLose {
			v.broken("%s got no answer: %s", c.ID, c.Lost)
		}
	}
	return v
}

func runsByBody(runs []standin.Run) map[string][]standin.Run {
	byBody := make(map[string][]standin.Run, len(runs))
	for _, run := range runs {
		byBody[run.Body] = append(byBody[run.Body], run)
	}
	return byBody
}

func eventAt(e Evidence, name string) time.Time {
	for _, event := range e.Events {
		if event.Name == name {
			return event.At
		}
	}
	return time.Time{}
}
