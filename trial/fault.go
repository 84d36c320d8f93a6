package trial

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/standin"
)

// slowLogDelay is the delay of every call of a slow log.
const slowLogDelay = 500 * time.Millisecond

// Fault is a fault that a trial injects and later reverts.
type Fault struct {
	Name   string
	Help   string
	inject func(t *Trial) error
	revert func(t *Trial) error
}

// Faults returns every fault in order.
func Faults() []Fault {
	return []Fault{
		logFault("log-down", "the log, the list of instances and reboots fail every call", standin.LogFault{Down: true}),
		logFault("log-slow", "the log answers half a second late", standin.LogFault{Slow: slowLogDelay}),
		logFault("log-lost", "appends take effect but their answers are lost", standin.LogFault{Lose: true}),
		logFault("log-repeat", "every append takes effect twice", standin.LogFault{Repeat: true}),
		workerFault("worker-fails", "a worker fails every task that it starts", standin.Fails),
		workerFault("worker-refuses", "a worker refuses every task", standin.Refuses),
		workerFault("worker-early", "a worker breaks connections before it starts a task", standin.BreaksBeforeStart),
		workerFault("worker-late", "a worker runs tasks and breaks connections without an answer", standin.BreaksBeforeAnswer),
		workerFault("worker-truncates", "a worker truncates its answers", standin.Truncates),
		workerFault("worker-crosses", "a worker answers with another request's id", standin.WrongRequestID),
		{Name: "rack-lost", Help: "a rack of four workers goes down", inject: stopRack, revert: startRack},
		{Name: "entry-killed", Help: "an entry instance is killed", inject: killEntry, revert: func(*Trial) error { return nil }},
		cutFault("cut-platform", "a data centre is cut off from the platform", func(*Trial) []id.DataCentre { return []id.DataCentre{platformSite} }),
		cutFault("cut-all", "a data centre is cut off from everything", func(t *Trial) []id.DataCentre {
			dcs := t.fleet.Deployment.DataCentres
			return []id.DataCentre{platformSite, dcs[0], dcs[1]}
		}),
	}
}

// FaultOf returns the fault with the given name, or a NotFound error if there is none.
func FaultOf(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, errors.NotFoundf("fault %q", name)
}

func logFault(name, help string, f standin.LogFault) Fault {
	set := func(f standin.LogFault) func(t *Trial) error {
		return func(t *Trial) error {
			t.fleet.Platform.Log.SetFault(f)
			t.fleet.Platform.SetDown(f.Down)
			return nil
		}
	}
	return Fault{Name: name, Help: help, inject: set(f), revert: set(standin.LogFault{})}
}

// faultyWorker is the worker into which faults of workers are injected.
const faultyWorker id.Instance = "w000"

func workerFault(name, help string, f standin.EndpointFault) Fault {
	set := func(f standin.EndpointFault) func(t *Trial) error {
		return func(t *Trial) error {
			t.fleet.Endpoints[faultyWorker].SetFault(f)
			return nil
		}
	}
	return Fault{Name: name, Help: help, inject: set(f), revert: set(standin.Healthy)}
}

// lostRack returns the workers that the fault rack-lost stops: the first rack of the third data centre.
func lostRack() []id.Instance { return []id.Instance{"w002", "w005", "w008", "w011"} }

func stopRack(t *Trial) error {
	for _, name := range lostRack() {
		t.fleet.Endpoints[name].Down()
	}
	return nil
}

func startRack(t *Trial) error {
	for _, name := range lostRack() {
		t.fleet.Endpoints[name].Start()
	}
	return nil
}

func killEntry(t *Trial) error {
	e := t.fleet.Entries[len(t.fleet.Entries)-1]
	e.Kill()
	return nil
}

func cutFault(name, help string, from func(t *Trial) []id.DataCentre) Fault {
	set := func(cut bool) func(t *Trial) error {
		return func(t *Trial) error {
			dcs := t.fleet.Deployment.DataCentres
			sites := from(t)
			for _, site := range sites {
				t.fleet.Network.Cut(dcs[2], site, cut)
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.isolated = ""
			if cut && len(sites) == len(dcs) {
				t.isolated = dcs[2]
			}
			return nil
		}
	}
	return Fault{Name: name, Help: help, inject: set(true), revert: set(false)}
}

func (t *Trial) injectFaults(context.Context) error {
	return t.forEachFault("begins", func(f Fault) error { return f.inject(t) })
}
func (t *Trial) revertFaults(context.Context) error {
	return t.forEachFault("ends", func(f Fault) error { return f.revert(t) })
}

func (t *Trial) forEachFault(verb string, do func(f Fault) error) error {
	for _, f := range t.config.Faults {
		t.recordEvent(f.Name + " " + verb)
		t.progress("%s %s", f.Name, verb)
		if err := do(f); err != nil {
			return err
		}
	}
	return nil
}
