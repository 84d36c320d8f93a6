package trial

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/standin"
)

// slowLog is how late a slow log answers.
const slowLog = 500 * time.Millisecond

// Fault is something that a trial brings about and later ends.
type Fault struct {
	Name string
	Help string
	on   func(t *Trial) error
	off  func(t *Trial) error
}

// Faults returns every fault in order.
func Faults() []Fault {
	return []Fault{
		logFault("log-down", "the log takes and gives nothing", standin.LogFault{Down: true}),
		logFault("log-slow", "the log answers half a second late", standin.LogFault{Slow: slowLog}),
		logFault("log-lost", "appends take effect and their answers are lost", standin.LogFault{Lose: true}),
		logFault("log-repeat", "every append takes effect twice", standin.LogFault{Repeat: true}),
		workerFault("worker-fails", "a worker fails all it starts", standin.Fails),
		workerFault("worker-refuses", "a worker refuses all", standin.Refuses),
		workerFault("worker-early", "a worker breaks connections before it starts a task", standin.DiesEarly),
		workerFault("worker-late", "a worker loses its answers", standin.DiesLate),
		workerFault("worker-truncates", "a worker cuts its answers", standin.Truncates),
		workerFault("worker-crosses", "a worker answers with another request's id", standin.Crosses),
		{Name: "rack-lost", Help: "the first four workers go down", on: rackDown, off: rackUp},
		{Name: "entry-killed", Help: "an entry instance ends at once", on: killEntry, off: func(*Trial) error { return nil }},
		cutFault("cut-platform", "a data centre is cut off from the platform", func(*Trial) []id.DataCentre { return []id.DataCentre{platformSite} }),
		cutFault("cut-all", "a data centre is cut off from everything", func(t *Trial) []id.DataCentre {
			dcs := t.fleet.Deployment.DataCentres
			return []id.DataCentre{platformSite, dcs[0], dcs[1]}
		}),
	}
}

// FaultOf returns the fault of a name; it fails for a name that is not known.
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
	return Fault{Name: name, Help: help, on: set(f), off: set(standin.LogFault{})}
}

// troubled is the worker that faults of workers befall.
const troubled id.Instance = "w000"

func workerFault(name, help string, f standin.EndpointFault) Fault {
	set := func(f standin.EndpointFault) func(t *Trial) error {
		return func(t *Trial) error {
			t.fleet.Endpoints[troubled].SetFault(f)
			return nil
		}
	}
	return Fault{Name: name, Help: help, on: set(f), off: set(standin.Healthy)}
}

// rack is the workers that the loss of a rack befalls: they share a data centre.
func rack() []id.Instance { return []id.Instance{"w002", "w005", "w008", "w011"} }

func rackDown(t *Trial) error {
	for _, name := range rack() {
		t.fleet.Endpoints[name].Down()
	}
	return nil
}

func rackUp(t *Trial) error {
	for _, name := range rack() {
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
			t.cutOff = ""
			if cut && len(sites) == len(dcs) {
				t.cutOff = dcs[2]
			}
			return nil
		}
	}
	return Fault{Name: name, Help: help, on: set(true), off: set(false)}
}

func (t *Trial) faultsOn(context.Context) error {
	return t.each("begins", func(f Fault) error { return f.on(t) })
}
func (t *Trial) faultsOff(context.Context) error {
	return t.each("ends", func(f Fault) error { return f.off(t) })
}

func (t *Trial) each(word string, do func(f Fault) error) error {
	for _, f := range t.config.Faults {
		t.note(f.Name + " " + word)
		t.progress("%s %s", f.Name, word)
		if err := do(f); err != nil {
			return err
		}
	}
	return nil
}
