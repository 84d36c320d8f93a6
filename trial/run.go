package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/rules"
)

// Config holds what a trial needs.
type Config struct {
	Deployment Deployment
	Seed       uint64
	Length     time.Duration // of the load
	Faults     []Fault
	Progress   io.Writer
	Logger     *zap.Logger
	Order      queue.Order
}

// Events of the trial, in parts of its length.
const (
	changeAt   = 0.05
	withdrawAt = 0.10
	waveAt     = 0.08
	outAt      = 0.35
	backAt     = 0.52
	restartAt  = 0.58
	faultAt    = 0.30
	healAt     = 0.45
)

// changes is how many configuration changes a trial measures.
const changes = 4

// GuestTeam is the team whose key the trial withdraws.
const GuestTeam id.Team = "guest"

// guestLimit is its upper limit, in slots.
const guestLimit = 4

// Trial is one run: a fleet, its load, and what happened when.
type Trial struct {
	config Config
	fleet  *Fleet
	load   *Load

	beside   sync.WaitGroup // what watches while the load runs
	mu       sync.Mutex
	cutOff   id.DataCentre // cut off from everything now
	events   []Event
	rollouts []time.Duration
	versions []Version
	probes   []Call // sent with the key that is withdrawn
}

// Event is something that operators or the trial did.
type Event struct {
	Name string
	At   time.Time
}

// Version is the rules version that an entry instance had in force at a time.
type Version struct {
	Member  id.Member
	Version int
	At      time.Time
}

// trialTiming shortens intervals that a day would fit, so that half a minute shows them.
func trialTiming() entry.Timing {
	return entry.Timing{
		SpareAfter: 300 * time.Millisecond, SpareHold: 2 * time.Second,
		ListEvery: 500 * time.Millisecond, Renew: 3 * time.Second,
	}
}

// reboot is how long a reboot takes in a trial.
const reboot = 500 * time.Millisecond

// Run runs a trial and returns its report.
func Run(ctx context.Context, c Config) (*Report, error) {
	d := c.Deployment
	f, err := StartFleet(FleetConfig{Deployment: d, Reboot: reboot, Timing: trialTiming(), Order: c.Order, Logger: c.Logger})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	t := &Trial{config: c, fleet: f, load: NewLoad(f, c.Length, c.Seed)}
	t.progress("starting %s: %d workers, %d entry instances in %d data centres", d.Name, len(f.Endpoints), len(f.Entries), len(d.DataCentres))
	starting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if err := f.Publish(starting); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	began := time.Now()
	t.beside.Go(func() { t.versionLoop(running) })
	t.beside.Go(func() { t.probeLoop(running) })
	t.beside.Go(func() { t.eventLoop(running, began) })
	t.load.Run(ctx)
	ended := time.Now()
	stop()
	t.beside.Wait()
	return t.report(began, ended)
}

func (t *Trial) progress(format string, args ...any) {
	if t.config.Progress != nil {
		_, _ = fmt.Fprintf(t.config.Progress, format+"\n", args...)
	}
}

func (t *Trial) note(name string) { t.noteAt(name, time.Now()) }

func (t *Trial) noteAt(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, Event{Name: name, At: at})
}

// step is one event of a trial at a part of its length.
type step struct {
	at  float64
	run func(ctx context.Context) error
}

// eventLoop does what operators do, and brings about the faults.
func (t *Trial) eventLoop(ctx context.Context, began time.Time) {
	steps := []step{
		{at: 0, run: t.grantGuest},
		{at: changeAt, run: t.change},
		{at: waveAt, run: t.wave},
		{at: withdrawAt, run: t.withdraw},
		{at: faultAt, run: t.faultsOn},
		{at: outAt, run: t.out},
		{at: healAt, run: t.faultsOff},
		{at: backAt, run: t.back},
		{at: restartAt, run: t.restart},
	}
	for _, s := range steps {
		due := began.Add(time.Duration(s.at * float64(t.config.Length)))
		if err := sleepUntil(ctx, due); err != nil {
			return
		}
		if err := s.run(ctx); err != nil {
			t.progress("%5.1fs %v", time.Since(began).Seconds(), err)
			t.note("failed: " + err.Error())
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Effective returns from when an operator's change may show: what gives may take effect as soon as it
// was asked for, what takes away must only once the operator was told so.
func Effective(name string, asked time.Time) time.Time {
	if name == "back" {
		return asked
	}
	return time.Now()
}

// edit changes single rules through an entry instance and waits until all have them in force.
func (t *Trial) edit(ctx context.Context, name string, set []string, remove []rules.Ref) error {
	asked := time.Now()
	var version int
	err := errors.New("no entry instance is ready")
	for _, e := range t.fleet.Entries {
		if !e.Alive() || !e.Server.Control().Ready() {
			continue
		}
		version, err = e.Operator().Edit(ctx, operator.Edit{Set: set, Remove: remove, By: "the trial"})
		var pending operator.PendingError
		if err == nil || errors.As(err, &pending) {
			break
		}
	}
	t.noteAt(name, Effective(name, asked))
	t.progress("%s: version %d after %s", name, version, time.Since(asked).Round(time.Millisecond))
	var pending operator.PendingError
	if errors.As(err, &pending) {
		t.progress("%s: %v", name, pending)
		return nil
	}
	if err != nil {
		return errors.Annotatef(err, "%s", name)
	}
	t.beside.Go(func() { t.awaitVersion(ctx, version, asked) })
	return nil
}

// alone returns the data centre that is cut off from everything now, if any.
func (t *Trial) alone() id.DataCentre {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// awaitVersion measures how long a version takes to be in force everywhere.
func (t *Trial) awaitVersion(ctx context.Context, version int, asked time.Time) {
	for ctx.Err() == nil {
		everywhere := true
		for _, e := range t.fleet.Entries {
			if !e.Alive() || e.DataCentre == t.alone() {
				continue
			}
			got, _, err := e.Server.Control().Rules(ctx)
			everywhere = everywhere && (err != nil || got >= version)
		}
		if everywhere {
			t.mu.Lock()
			t.rollouts = append(t.rollouts, time.Since(asked))
			t.mu.Unlock()
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (t *Trial) grantGuest(ctx context.Context) error {
	var queues []string
	for _, p := range t.fleet.Deployment.Pools[:1] {
		queues = append(queues, fmt.Sprintf("queue guests pool=%s for=%s # the trial", p.Pool, GuestTeam))
	}
	set := append([]string{
		fmt.Sprintf("team %s share=1 limit=%d # the trial", GuestTeam, guestLimit),
		fmt.Sprintf("key k-%s team=%s hash=%s # the trial", GuestTeam, GuestTeam, entry.HashKey(Secret(GuestTeam))),
	}, queues...)
	return t.edit(ctx, "grant", set, nil)
}

func (t *Trial) withdraw(ctx context.Context) error {
	return t.edit(ctx, "withdraw", nil, []rules.Ref{{Kind: "key", Name: "k-" + string(GuestTeam)}})
}

func (t *Trial) change(ctx context.Context) error {
	for i := range changes {
		line := fmt.Sprintf("cutoff %s hold=%dm # the trial", t.fleet.Deployment.DataCentres[0], 10+i)
		if err := t.edit(ctx, "change", []string{line}, nil); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) wave(ctx context.Context) error {
	return t.edit(ctx, "wave", []string{fmt.Sprintf("wave w1 pool=%s # the trial", rules.AllPools)}, nil)
}

func (t *Trial) out(ctx context.Context) error {
	return t.edit(ctx, "out", []string{fmt.Sprintf("out %s # the trial", t.leaving())}, nil)
}

func (t *Trial) back(ctx context.Context) error {
	return t.edit(ctx, "back", nil, []rules.Ref{{Kind: "out", Name: string(t.leaving())}})
}

// leaving is the data centre that the trial takes out.
func (t *Trial) leaving() id.DataCentre { return t.fleet.Deployment.DataCentres[1] }

// restart replaces one entry instance by a new one, as an upgrade does.
func (t *Trial) restart(ctx context.Context) error {
	old := t.fleet.Entries[0]
	t.note("restart")
	asked := time.Now()
	added, err := t.fleet.StartEntry(old.Name+"-new", old.DataCentre)
	if err != nil {
		return err
	}
	for !added.Server.Control().Ready() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	t.progress("a new entry instance is ready after %s", time.Since(asked).Round(time.Millisecond))
	if !old.Alive() {
		return nil
	}
	err = old.Stop(ctx)
	t.progress("an entry instance has stopped after %s", time.Since(asked).Round(time.Millisecond))
	return errors.Annotate(err, "stopping an entry instance")
}

// watchEvery is the time between looks at the versions in force and between probes.
const watchEvery = 20 * time.Millisecond

// versionLoop notes the version that each entry instance has in force.
func (t *Trial) versionLoop(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(watchEvery)) == nil {
		t.fleet.mu.Lock()
		entries := t.fleet.Entries
		t.fleet.mu.Unlock()
		for _, e := range entries {
			control := e.Server.Control()
			version, _, err := control.Rules(ctx)
			if err != nil {
				continue
			}
			t.mu.Lock()
			t.versions = append(t.versions, Version{Member: control.Member(), Version: version, At: time.Now()})
			t.mu.Unlock()
		}
	}
}

// probeLoop sends requests with the guest's key, before and after it is withdrawn, to its own queue
// and to one that its team has no right to.
func (t *Trial) probeLoop(ctx context.Context) {
	for n := 0; sleepUntil(ctx, time.Now().Add(watchEvery)) == nil; n++ {
		queues := []id.Queue{"guests", t.fleet.Deployment.Pools[n%len(t.fleet.Deployment.Pools)].Queue}
		name := fmt.Sprintf("guest-%d", n)
		c := Call{ID: name, Body: name + " 1ms", Team: GuestTeam, Queue: queues[n%2], Class: queue.Urgent, Sent: time.Now()}
		t.load.exchange(ctx, t.load.balance(uint64(n)), &c, Secret(GuestTeam))
		c.Done = time.Now()
		if ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		t.probes = append(t.probes, c)
		t.mu.Unlock()
	}
}

// isProblem reports whether a status tells of a refusal or lost answer.
func isProblem(c Call) bool { return c.Outcome != "" || c.Status >= http.StatusBadRequest }

// isGuest reports whether a body is of the guest's.
func isGuest(body string) bool { return strings.HasPrefix(body, "guest-") }
