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

// Config holds the options of a trial.
type Config struct {
	Deployment Deployment
	Seed       uint64
	Length     time.Duration // length of the load
	Faults     []Fault
	Progress   io.Writer
	Logger     *zap.Logger
	Order      queue.Order
}

// Times of the trial's events, as fractions of its length.
const (
	changeAt      = 0.05
	withdrawAt    = 0.10
	waveAt        = 0.08
	outAt         = 0.35
	backAt        = 0.52
	restartAt     = 0.58
	faultsBeginAt = 0.30
	faultsEndAt   = 0.45
)

// configurationChanges is the number of configuration changes whose rollout a trial measures.
const configurationChanges = 4

// GuestTeam is the team whose key the trial withdraws.
const GuestTeam id.Team = "guest"

// guestLimit is the upper limit of GuestTeam, in slots.
const guestLimit = 4

// Trial is one run of a fleet under load, with the observations made during the run.
type Trial struct {
	config Config
	fleet  *Fleet
	load   *Load

	background sync.WaitGroup // goroutines that run beside the load
	mu         sync.Mutex
	isolated   id.DataCentre // data centre that is cut off from everything at present
	events     []Event
	rollouts   []time.Duration
	versions   []Version
	probes     []Call // requests sent with the key that the trial withdraws
}

// Event is an action of the operators or of the trial.
type Event struct {
	Name string
	At   time.Time
}

// Version is the version of the rules that an entry instance had in force at a time.
type Version struct {
	Member  id.Member
	Version int
	At      time.Time
}

// trialTiming returns shortened intervals, so that their effects show within a trial of half a minute.
func trialTiming() entry.Timing {
	return entry.Timing{
		BorrowDelay: 300 * time.Millisecond, MinBorrowTime: 2 * time.Second,
		ListInterval: 500 * time.Millisecond, RenewInterval: 3 * time.Second,
	}
}

// reboot is the duration of a reboot in a trial.
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
	limit, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	if need := d.descriptorsNeeded(); limit < need {
		t.progress("this process may open %d files; the overload can need up to %d on a busy machine", limit, need)
	}
	starting, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := f.Publish(starting); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	began := time.Now()
	t.background.Go(func() { t.versionLoop(running) })
	t.background.Go(func() { t.probeLoop(running) })
	t.background.Go(func() { t.eventLoop(running, began) })
	t.load.Run(ctx)
	ended := time.Now()
	stop()
	t.background.Wait()
	if err := t.load.checkDescriptors(limit); err != nil {
		return nil, err
	}
	return t.report(began, ended)
}

func (t *Trial) progress(format string, args ...any) {
	if t.config.Progress != nil {
		_, _ = fmt.Fprintf(t.config.Progress, format+"\n", args...)
	}
}

func (t *Trial) recordEvent(name string) { t.recordEventAt(name, time.Now()) }

func (t *Trial) recordEventAt(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, Event{Name: name, At: at})
}

// step is one event of a trial. Its time is a fraction of the trial's length.
type step struct {
	at  float64
	run func(ctx context.Context) error
}

// eventLoop performs the operators' actions and injects and reverts the faults.
func (t *Trial) eventLoop(ctx context.Context, began time.Time) {
	steps := []step{
		{at: 0, run: t.grantGuest},
		{at: changeAt, run: t.changeConfiguration},
		{at: waveAt, run: t.startWave},
		{at: withdrawAt, run: t.withdrawKey},
		{at: faultsBeginAt, run: t.injectFaults},
		{at: outAt, run: t.takeOut},
		{at: faultsEndAt, run: t.revertFaults},
		{at: backAt, run: t.bringBack},
		{at: restartAt, run: t.replaceEntry},
	}
	for _, s := range steps {
		due := began.Add(time.Duration(s.at * float64(t.config.Length)))
		if err := sleepUntil(ctx, due); err != nil {
			return
		}
		if err := s.run(ctx); err != nil {
			t.progress("%5.1fs %v", time.Since(began).Seconds(), err)
			t.recordEvent("failed: " + err.Error())
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

// EffectiveTime returns the time from which a change by an operator counts. Bringing a data centre back may take effect
// as soon as it is requested; other changes, such as restrictions, must be in force only after the operator got the
// answer, so they count from now.
func EffectiveTime(name string, requested time.Time) time.Time {
	if name == "back" {
		return requested
	}
	return time.Now()
}

// edit changes single rules through a ready entry instance and measures in the background how long the new version
// takes to be in force everywhere.
func (t *Trial) edit(ctx context.Context, name string, set []string, remove []rules.Ref) error {
	requested := time.Now()
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
	t.recordEventAt(name, EffectiveTime(name, requested))
	t.progress("%s: version %d after %s", name, version, time.Since(requested).Round(time.Millisecond))
	var pending operator.PendingError
	if errors.As(err, &pending) {
		t.progress("%s: %v", name, pending)
		return nil
	}
	if err != nil {
		return errors.Annotatef(err, "%s", name)
	}
	t.background.Go(func() { t.awaitVersion(ctx, version, requested) })
	return nil
}

// isolatedDataCentre returns the data centre that is cut off from everything at present, or an empty name.
func (t *Trial) isolatedDataCentre() id.DataCentre {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated
}

// awaitVersion waits until a version is in force on every running entry instance outside the isolated data centre and
// records the time since the change was requested.
func (t *Trial) awaitVersion(ctx context.Context, version int, requested time.Time) {
	for ctx.Err() == nil {
		everywhere := true
		for _, e := range t.fleet.Entries {
			if !e.Alive() || e.DataCentre == t.isolatedDataCentre() {
				continue
			}
			got, _, err := e.Server.Control().Rules(ctx)
			everywhere = everywhere && (err != nil || got >= version)
		}
		if everywhere {
			t.mu.Lock()
			t.rollouts = append(t.rollouts, time.Since(requested))
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

func (t *Trial) withdrawKey(ctx context.Context) error {
	return t.edit(ctx, "withdraw", nil, []rules.Ref{{Kind: "key", Name: "k-" + string(GuestTeam)}})
}

func (t *Trial) changeConfiguration(ctx context.Context) error {
	for i := range configurationChanges {
		line := fmt.Sprintf("cutoff %s hold=%dm # the trial", t.fleet.Deployment.DataCentres[0], 10+i)
		if err := t.edit(ctx, "change", []string{line}, nil); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) startWave(ctx context.Context) error {
	return t.edit(ctx, "wave", []string{fmt.Sprintf("wave w1 pool=%s # the trial", rules.AllPools)}, nil)
}

func (t *Trial) takeOut(ctx context.Context) error {
	return t.edit(ctx, "out", []string{fmt.Sprintf("out %s # the trial", t.outDataCentre())}, nil)
}

func (t *Trial) bringBack(ctx context.Context) error {
	return t.edit(ctx, "back", nil, []rules.Ref{{Kind: "out", Name: string(t.outDataCentre())}})
}

// outDataCentre returns the data centre that the trial takes out.
func (t *Trial) outDataCentre() id.DataCentre { return t.fleet.Deployment.DataCentres[1] }

// replaceEntry starts a new entry instance and then stops an old one gracefully, as an upgrade does.
func (t *Trial) replaceEntry(ctx context.Context) error {
	old := t.fleet.Entries[0]
	t.recordEvent("restart")
	began := time.Now()
	added, err := t.fleet.StartEntry(old.Name+"-new", old.DataCentre)
	if err != nil {
		return err
	}
	for !added.Server.Control().Ready() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	t.progress("a new entry instance is ready after %s", time.Since(began).Round(time.Millisecond))
	if !old.Alive() {
		return nil
	}
	err = old.Stop(ctx)
	t.progress("an entry instance has stopped after %s", time.Since(began).Round(time.Millisecond))
	return errors.Annotate(err, "stopping an entry instance")
}

// watchInterval is the time between polls of the versions in force and between probes.
const watchInterval = 20 * time.Millisecond

// versionLoop records the version that each entry instance has in force.
func (t *Trial) versionLoop(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(watchInterval)) == nil {
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

// probeLoop sends requests with the key of GuestTeam, before and after the key is withdrawn. It alternates between the
// team's own queue and queues that the team has no right to use.
func (t *Trial) probeLoop(ctx context.Context) {
	for n := 0; sleepUntil(ctx, time.Now().Add(watchInterval)) == nil; n++ {
		queues := []id.Queue{"guests", t.fleet.Deployment.Pools[n%len(t.fleet.Deployment.Pools)].Queue}
		name := fmt.Sprintf("guest-%d", n)
		c := Call{ID: name, Body: name + " 1ms", Team: GuestTeam, Queue: queues[n%2], Class: queue.Urgent, Sent: time.Now()}
		t.load.roundTrip(ctx, t.load.pickEntry(uint64(n)), &c, Secret(GuestTeam))
		c.Done = time.Now()
		if ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		t.probes = append(t.probes, c)
		t.mu.Unlock()
	}
}

// isProblem reports whether a call ended with a problem or an error status.
func isProblem(c Call) bool { return c.Outcome != "" || c.Status >= http.StatusBadRequest }

// isGuestBody reports whether a request body was sent by GuestTeam.
func isGuestBody(body string) bool { return strings.HasPrefix(body, "guest-") }
