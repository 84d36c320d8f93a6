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

// maxPropagationDelay bounds the time until a restriction or configuration is in force everywhere.
const maxPropagationDelay = 3 * time.Second

// maxDelayIn returns the time within which a restriction must be in force in a data centre. It is longer only
// for a data centre that is cut off from everything, by the time for which operators let it continue in isolation.
func (e Evidence) maxDelayIn(dc id.DataCentre) time.Duration {
	if e.IsolationHold > 0 && dc == e.IsolatedDataCentre {
		return maxPropagationDelay + e.IsolationHold
	}
	return maxPropagationDelay
}

// Verdict is the result of checking one guarantee.
type Verdict struct {
	Guarantee  string   `json:"Promise"`
	Cases      int      `json:"Looked"` // number of cases checked
	Violations []string `json:"Broken"`
}

func (v *Verdict) addViolation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

// Check checks every guarantee against evidence.
func Check(e Evidence) []Verdict {
	return []Verdict{
		checkBudgets(e),
		checkOnePool(e),
		checkKeys(e),
		checkLimits(e),
		checkDataCentreOut(e),
		checkAnswers(e),
		checkNotRun(e),
		checkAtMostOnce(e),
		checkNoStartAfterDrain(e),
		checkGraceful(e),
		checkVersions(e),
		checkNoneLost(e),
	}
}

func checkBudgets(e Evidence) Verdict {
	v := Verdict{Guarantee: "every availability budget holds", Cases: len(e.Drains)}
	for _, g := range e.Drains {
		if g.Reason != fleet.ForLeave && g.Serving < g.Need {
			v.addViolation("drain of %s left %d of %s serving, %d needed", g.Instance, g.Serving, g.Pool, g.Need)
		}
	}
	for _, r := range e.Reboots {
		v.Cases++
		if !isGranted(e.Drains, r) {
			v.addViolation("%s was rebooted though its budget did not grant it", r.Instance)
		}
	}
	return v
}

// isGranted reports whether a reboot took place while a drain of its instance that the log granted was in progress.
func isGranted(drains []GrantedDrain, r standin.RebootEvent) bool {
	for _, g := range drains {
		if g.Instance == r.Instance && g.At.Before(r.At) && (g.Ended.IsZero() || r.At.Before(g.Ended)) {
			return true
		}
	}
	return false
}

// checkOnePool checks that no worker ran tasks of two pools at once.
func checkOnePool(e Evidence) Verdict {
	v := Verdict{Guarantee: "an instance belongs to exactly one pool"}
	byInstance := map[id.Instance][]standin.Run{}
	for _, run := range e.Runs {
		byInstance[run.Instance] = append(byInstance[run.Instance], run)
	}
	for instance, runs := range byInstance {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
		until := map[id.Pool]time.Time{}
		for _, run := range runs {
			v.Cases++
			pool := e.Pools[run.Queue]
			for other, end := range until {
				if other != pool && end.After(run.Started) {
					v.addViolation("%s ran work of pools %s and %s at once", instance, pool, other)
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
	v := Verdict{Guarantee: "a key works for its team and queues only, and not once withdrawn"}
	withdrawn := eventAt(e, "withdraw")
	byBody := runsByBody(e.Runs)
	for _, c := range e.WithdrawnKeyCalls {
		v.Cases++
		for _, run := range byBody[c.Body] {
			if c.Queue != "guests" {
				v.addViolation("%s ran in queue %s without a right to it", c.ID, c.Queue)
			}
			if run.Team != GuestTeam {
				v.addViolation("%s counted for team %s", c.ID, run.Team)
			}
			if !withdrawn.IsZero() && run.Started.After(withdrawn.Add(e.maxDelayIn(run.DataCentre))) {
				v.addViolation("%s started %s after its key was withdrawn", c.ID, run.Started.Sub(withdrawn))
			}
		}
	}
	for _, c := range e.Calls {
		v.Cases++
		for _, run := range byBody[c.Body] {
			if run.Team != c.Team {
				v.addViolation("%s of team %s counted for %s", c.ID, c.Team, run.Team)
			}
		}
	}
	return v
}

// edge is the start (delta 1) or the end (delta -1) of a run.
type edge struct {
	at    time.Time
	delta int
}

func checkLimits(e Evidence) Verdict {
	v := Verdict{Guarantee: "no team has more running than its upper limit"}
	for _, team := range e.Limits {
		var edges []edge
		for _, run := range e.Runs {
			if run.Team != team.Team {
				continue
			}
			v.Cases++
			edges = append(edges, edge{at: run.Started, delta: 1})
			if !run.Ended.IsZero() {
				edges = append(edges, edge{at: run.Ended, delta: -1})
			}
		}
		if highest := peak(edges); highest > team.Limit {
			v.addViolation("team %s had %d running, its limit is %d", team.Team, highest, team.Limit)
		}
	}
	return v
}

// peak returns the highest running sum of edges in order of time. At equal times, ends come before starts.
func peak(edges []edge) int {
	sort.Slice(edges, func(i, j int) bool {
		if !edges[i].at.Equal(edges[j].at) {
			return edges[i].at.Before(edges[j].at)
		}
		return edges[i].delta < edges[j].delta
	})
	highest, sum := 0, 0
	for _, x := range edges {
		sum += x.delta
		highest = max(highest, sum)
	}
	return highest
}

func checkDataCentreOut(e Evidence) Verdict {
	v := Verdict{Guarantee: "no task starts in a data centre that was taken out"}
	out := eventAt(e, "out")
	back := eventAt(e, "back")
	if out.IsZero() {
		return v
	}
	for _, run := range e.Runs {
		if run.DataCentre != e.OutDataCentre {
			continue
		}
		v.Cases++
		if run.Started.After(out.Add(e.maxDelayIn(run.DataCentre))) && (back.IsZero() || run.Started.Before(back)) {
			v.addViolation("%s started in %s %s after it was taken out", run.Body, run.DataCentre, run.Started.Sub(out))
		}
	}
	return v
}

func checkAnswers(e Evidence) Verdict {
	v := Verdict{Guarantee: "a caller gets the whole answer to its own request"}
	for _, c := range e.Calls {
		v.Cases++
		if c.LossReason == "" && c.Outcome == "" && c.Status == 200 && !c.AnswerMatches {
			v.addViolation("%s got a wrong or short answer", c.ID)
		}
	}
	return v
}

func checkNotRun(e Evidence) Verdict {
	v := Verdict{Guarantee: "a refusal saying not run is true"}
	byBody := runsByBody(e.Runs)
	for _, c := range append(append([]Call(nil), e.Calls...), e.WithdrawnKeyCalls...) {
		if c.Outcome != caller.NotRun {
			continue
		}
		v.Cases++
		if len(byBody[c.Body]) > 0 {
			v.addViolation("%s was refused as not run and ran %d times", c.ID, len(byBody[c.Body]))
		}
	}
	return v
}

func checkAtMostOnce(e Evidence) Verdict {
	v := Verdict{Guarantee: "a non-idempotent request runs at most once"}
	idempotent := id.Set[string]{}
	for _, c := range e.Calls {
		if c.Idempotent {
			idempotent.Add(c.Body)
		}
	}
	for body, runs := range runsByBody(e.Runs) {
		v.Cases++
		if len(runs) > 1 && !idempotent.Has(body) {
			v.addViolation("%q ran %d times", body, len(runs))
		}
	}
	return v
}

func checkNoStartAfterDrain(e Evidence) Verdict {
	v := Verdict{Guarantee: "a leaving endpoint gets no new work"}
	byInstance := map[id.Instance][]standin.Run{}
	for _, run := range e.Runs {
		byInstance[run.Instance] = append(byInstance[run.Instance], run)
	}
	for _, g := range e.Drains {
		v.Cases++
		for _, run := range byInstance[g.Instance] {
			ended := g.Ended.IsZero() || run.Started.Before(g.Ended)
			if run.Started.After(g.At.Add(e.maxDelayIn(run.DataCentre))) && ended {
				v.addViolation("%s started on %s %s after its drain", run.Body, g.Instance, run.Started.Sub(g.At))
			}
		}
	}
	return v
}

func checkGraceful(e Evidence) Verdict {
	v := Verdict{Guarantee: "every planned stop cuts off no request"}
	for _, run := range e.Runs {
		v.Cases++
		if run.CutOff && !e.UnplannedDown.Has(run.Instance) {
			v.addViolation("%s was cut off on %s", run.Body, run.Instance)
		}
	}
	return v
}

func checkVersions(e Evidence) Verdict {
	v := Verdict{Guarantee: "a configuration is in force in seconds and never reverts", Cases: len(e.Versions) + len(e.Rollouts)}
	for _, rollout := range e.Rollouts {
		if rollout > maxPropagationDelay {
			v.addViolation("a version took %s to be in force", rollout)
		}
	}
	newest := map[id.Member]int{}
	for _, seen := range e.Versions {
		if seen.Version < newest[seen.Member] {
			v.addViolation("%s went from version %d to %d", seen.Member, newest[seen.Member], seen.Version)
		}
		newest[seen.Member] = seen.Version
	}
	for _, event := range e.Events {
		if strings.HasPrefix(event.Name, "failed: ") {
			v.addViolation("%s", event.Name)
		}
	}
	return v
}

func checkNoneLost(e Evidence) Verdict {
	v := Verdict{Guarantee: "no request is lost"}
	for _, c := range e.Calls {
		v.Cases++
		if c.LossReason != "" && !e.LossAllowed {
			v.addViolation("%s got no answer: %s", c.ID, c.LossReason)
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
