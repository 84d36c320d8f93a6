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

// fault is something that goes wrong at a step and ends some time later.
type fault struct {
	name  string
	lasts time.Duration
	on    func(c *cell, at *instance)
	off   func(c *cell)
	no    string        // why the row does not apply
	lose  bool          // callers of the instance that it befalls may get no answer
	alone bool          // dc1 hears nothing while it lasts
	avoid id.DataCentre // operators cannot speak to instances there
	down  bool          // it ends what runs on the workers of dc1
}

func faults() []fault {
	none := func(*cell) {}
	return []fault{
		endpointFault("refuses", standin.Refuses),
		endpointFault("dies-early", standin.DiesEarly),
		endpointFault("dies-late", standin.DiesLate),
		endpointFault("truncates", standin.Truncates),
		endpointFault("crosses", standin.Crosses),
		endpointFault("fails", standin.Fails),
		endpointFault("delays", standin.Delays),
		{name: "rack-lost", lasts: 8 * time.Second, on: rack(true), off: func(c *cell) { rack(false)(c, nil) }, down: true},
		{name: "entry-dies", lasts: 8 * time.Second, on: func(_ *cell, at *instance) { at.kill() }, off: none, lose: true},
		{name: "entry-paused", lasts: 100 * time.Second, on: pause, off: resume, lose: true},
		{name: "entry-stops", lasts: 8 * time.Second, on: stop, off: none},
		logFault("log-down", standin.LogFault{Down: true}),
		logFault("log-slow", standin.LogFault{Slow: 700 * time.Millisecond}),
		logFault("log-lost", standin.LogFault{Lose: true}),
		logFault("log-repeat", standin.LogFault{Repeat: true}),
		{name: "log-expired", lasts: time.Second, on: func(c *cell, _ *instance) { c.expire() }, off: none},
		{name: "list-late", lasts: 8 * time.Second, on: staleList, off: freshList},
		{name: "list-wrong", lasts: 8 * time.Second, on: emptyList, off: freshList},
		cutFault("cut-platform", false, both(platformSite)),
		cutFault("cut-peers", false, append(both("dc2"), both("dc3")...)),
		cutFault("cut-all", true, append(append(both("dc2"), both("dc3")...), both(platformSite)...)),
		cutFault("cut-one-way", false, []way{{"dc1", "dc2"}, {"dc1", "dc3"}, {"dc1", platformSite}}),
		{name: "clock-stepped", no: "spans are measured on the monotonic clock; TestClockSkew covers times in records"},
	}
}

// rackOf returns the workers of dc1, which share a rack.
func rackOf(w *world) []*worker {
	var list []*worker
	for _, found := range w.names {
		if found.dc == "dc1" {
			list = append(list, found)
		}
	}
	return list
}

func endpointFault(name string, f standin.EndpointFault) fault {
	set := func(c *cell, f standin.EndpointFault) {
		for _, found := range rackOf(c.w) {
			found.endpoint.SetFault(f)
		}
	}
	return fault{
		name: name, lasts: 6 * time.Second,
		on:  func(c *cell, _ *instance) { set(c, f) },
		off: func(c *cell) { set(c, standin.Healthy) },
	}
}

func rack(down bool) func(c *cell, _ *instance) {
	return func(c *cell, _ *instance) {
		for _, found := range rackOf(c.w) {
			found.setDown(down)
		}
	}
}

func pause(c *cell, at *instance) {
	c.befallen = append(c.befallen, at)
	c.w.pause(at)
}

func resume(c *cell) {
	for _, i := range c.befallen {
		c.w.resume(i)
	}
}

func stop(c *cell, at *instance) {
	c.background.Go(func() { _ = at.control.Stop(context.Background(), 200*time.Millisecond) })
}

func logFault(name string, f standin.LogFault) fault {
	return fault{
		name: name, lasts: 15 * time.Second,
		on:  func(c *cell, _ *instance) { c.w.platform.Log.SetFault(f) },
		off: func(c *cell) { c.w.platform.Log.SetFault(standin.LogFault{}) },
	}
}

func staleList(c *cell, _ *instance) { c.setList(c.w.first) }

func emptyList(c *cell, _ *instance) { c.setList(c.w.first[:len(c.w.first)/2]) }

func freshList(c *cell) { c.setList(nil) }

func (c *cell) setList(list []store.ListedInstance) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.stale = list
}

// both returns the two ways between dc1 and another site.
func both(other id.DataCentre) []way { return []way{{"dc1", other}, {other, "dc1"}} }

func cutFault(name string, alone bool, ways []way) fault {
	set := func(c *cell, cut bool) {
		for _, w := range ways {
			c.w.cut(w.from, w.to, cut)
		}
	}
	return fault{
		name: name, lasts: 20 * time.Second, alone: alone, avoid: "dc1",
		on:  func(c *cell, _ *instance) { set(c, true) },
		off: func(c *cell) { set(c, false) },
	}
}

// pendingRestriction reports whether an operator was told that a restriction is in force though the
// log has not confirmed it.
func pendingRestriction(name string, err error) bool {
	var pending entry.PendingError
	return errors.As(err, &pending) && (name == "withdraw" || name == "out")
}
