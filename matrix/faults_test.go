package matrix

import (
	"context"
	"errors"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/standin"
)

// fault is a failure that is injected at a step and removed some time later.
type fault struct {
	name           string
	duration       time.Duration
	inject         func(c *cell, at *instance)
	remove         func(c *cell)
	skipReason     string        // why the fault is not run; empty when it is
	mayLoseAnswers bool          // callers of the affected instance may get no answer
	isolatesDC1    bool          // dc1 receives no messages from other sites
	unreachableDC  id.DataCentre // operators cannot reach instances there
	endsRuns       bool          // ends all runs on the workers of dc1
}

func faults() []fault {
	noop := func(*cell) {}
	return []fault{
		endpointFault("refuses", standin.Refuses),
		endpointFault("dies-early", standin.BreaksBeforeStart),
		endpointFault("dies-late", standin.BreaksBeforeAnswer),
		endpointFault("truncates", standin.Truncates),
		endpointFault("crosses", standin.WrongRequestID),
		endpointFault("fails", standin.Fails),
		endpointFault("delays", standin.Delays),
		{name: "rack-lost", duration: 8 * time.Second, inject: rackFault(true), remove: func(c *cell) { rackFault(false)(c, nil) }, endsRuns: true},
		{name: "entry-dies", duration: 8 * time.Second, inject: func(_ *cell, at *instance) { at.kill() }, remove: noop, mayLoseAnswers: true},
		{name: "entry-paused", duration: 100 * time.Second, inject: pauseInstance, remove: resumeInstances, mayLoseAnswers: true},
		{name: "entry-stops", duration: 8 * time.Second, inject: stopInstance, remove: noop},
		logFault("log-down", standin.LogFault{Down: true}),
		logFault("log-slow", standin.LogFault{Slow: 700 * time.Millisecond}),
		logFault("log-lost", standin.LogFault{Lose: true}),
		logFault("log-repeat", standin.LogFault{Repeat: true}),
		{name: "log-expired", duration: time.Second, inject: func(c *cell, _ *instance) { c.expireLog() }, remove: noop},
		{name: "list-late", duration: 8 * time.Second, inject: staleList, remove: freshList},
		{name: "list-wrong", duration: 8 * time.Second, inject: emptyList, remove: freshList},
		cutFault("cut-platform", false, bothDirections(platformSite)),
		cutFault("cut-peers", false, append(bothDirections("dc2"), bothDirections("dc3")...)),
		cutFault("cut-all", true, append(append(bothDirections("dc2"), bothDirections("dc3")...), bothDirections(platformSite)...)),
		cutFault("cut-one-way", false, []direction{{"dc1", "dc2"}, {"dc1", "dc3"}, {"dc1", platformSite}}),
		{name: "clock-stepped", skipReason: "durations are measured on the monotonic clock; TestClockSkew covers times in records"},
	}
}

// dc1Workers returns the workers of dc1, which share a rack.
func dc1Workers(w *world) []*worker {
	var list []*worker
	for _, found := range w.workerList {
		if found.dc == "dc1" {
			list = append(list, found)
		}
	}
	return list
}

func endpointFault(name string, f standin.EndpointFault) fault {
	set := func(c *cell, f standin.EndpointFault) {
		for _, found := range dc1Workers(c.w) {
			found.endpoint.SetFault(f)
		}
	}
	return fault{
		name: name, duration: 6 * time.Second,
		inject: func(c *cell, _ *instance) { set(c, f) },
		remove: func(c *cell) { set(c, standin.Healthy) },
	}
}

func rackFault(down bool) func(c *cell, _ *instance) {
	return func(c *cell, _ *instance) {
		for _, found := range dc1Workers(c.w) {
			found.setDown(down)
		}
	}
}

func pauseInstance(c *cell, at *instance) {
	c.pausedInstances = append(c.pausedInstances, at)
	c.w.pause(at)
}

func resumeInstances(c *cell) {
	for _, i := range c.pausedInstances {
		c.w.resume(i)
	}
}

func stopInstance(c *cell, at *instance) {
	c.background.Go(func() { _ = at.control.Stop(context.Background(), 200*time.Millisecond) })
}

func logFault(name string, f standin.LogFault) fault {
	return fault{
		name: name, duration: 15 * time.Second,
		inject: func(c *cell, _ *instance) { c.w.platform.Log.SetFault(f) },
		remove: func(c *cell) { c.w.platform.Log.SetFault(standin.LogFault{}) },
	}
}

func staleList(c *cell, _ *instance) { c.overrideList(c.w.initialList) }

func emptyList(c *cell, _ *instance) { c.overrideList(c.w.initialList[:len(c.w.initialList)/2]) }

func freshList(c *cell) { c.overrideList(nil) }

func (c *cell) overrideList(list []store.ListedInstance) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.listOverride = list
}

// bothDirections returns the two directions between dc1 and another site.
func bothDirections(other id.DataCentre) []direction {
	return []direction{{"dc1", other}, {other, "dc1"}}
}

func cutFault(name string, isolatesDC1 bool, directions []direction) fault {
	set := func(c *cell, cut bool) {
		for _, w := range directions {
			c.w.cut(w.from, w.to, cut)
		}
	}
	return fault{
		name: name, duration: 20 * time.Second, isolatesDC1: isolatesDC1, unreachableDC: "dc1",
		inject: func(c *cell, _ *instance) { set(c, true) },
		remove: func(c *cell) { set(c, false) },
	}
}

// pendingRestriction reports whether err tells an operator that a restriction is in force although the
// log has not confirmed it.
func pendingRestriction(name string, err error) bool {
	var pending entry.PendingError
	return errors.As(err, &pending) && (name == "withdraw" || name == "out")
}
