package trial

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/standin"
)

// Evidence is what callers, workers, the platform and the log observed during a trial.
type Evidence struct {
	Calls              []Call
	WithdrawnKeyCalls  []Call // requests with the key that the trial withdraws
	Runs               []standin.Run
	Events             []Event
	Versions           []Version
	Rollouts           []time.Duration // time until a configuration was in force in every data centre that was not isolated
	Drains             []GrantedDrain
	Reboots            []standin.RebootEvent
	Limits             []TeamShape
	Pools              map[id.Queue]id.Pool // pool of each queue
	UnplannedDown      id.Set[id.Instance]  // workers that went down unplanned
	OutDataCentre      id.DataCentre        // data centre that was taken out
	IsolatedDataCentre id.DataCentre        // data centre that was isolated from everything
	IsolationHold      time.Duration        // time for which operators let that data centre continue in isolation
	LossAllowed        bool                 // an entry instance was killed, so that requests may be lost
}

// GrantedDrain is a drain that the log granted, with the state of its pool right after the record.
type GrantedDrain struct {
	Instance id.Instance
	Reason   fleet.Reason
	Pool     id.Pool
	At       time.Time
	Serving  int       // instances of the pool that are up
	Need     int       // instances that the budget requires to be up
	Ended    time.Time // when the instance served again or was gone, zero if neither happened
}

// ReplayDrains replays the control stream and returns every drain that was granted.
func ReplayDrains(ctx context.Context, log *standin.Log) ([]GrantedDrain, error) {
	arrived := log.ArrivalTimes(store.ControlStream)
	tables := fleet.NewTables()
	var drains []GrantedDrain
	active := map[id.Instance]int{}
	for {
		batch, err := log.Read(ctx, store.ControlStream, tables.Offset, 0)
		if err != nil {
			return nil, errors.Annotate(err, "reading the log for the checks")
		}
		if len(batch.Records) == 0 {
			return drains, nil
		}
		for _, stored := range batch.Records {
			if _, err := tables.Apply(stored.Offset, stored.Data); err != nil {
				return nil, errors.Trace(err)
			}
			drains = trackDrains(tables, stored, arrived[stored.Offset], drains, active)
		}
	}
}

// trackDrains adds the drain that one record granted and sets the end of the drains that the record ended. The map
// active holds the index of each drain that has not ended.
func trackDrains(tables *fleet.Tables, stored store.StoredRecord, at time.Time, drains []GrantedDrain, active map[id.Instance]int) []GrantedDrain {
	envelope, err := fleet.Decode(stored.Data)
	if err != nil {
		return drains
	}
	for name, index := range active {
		instance := tables.Instances[name]
		if instance == nil || instance.State == fleet.Up {
			drains[index].Ended = at
			delete(active, name)
		}
	}
	record, err := envelope.Record()
	drain, ok := record.(fleet.Drain)
	if err != nil || !ok {
		return drains
	}
	instance := tables.Instances[drain.Instance]
	if _, known := active[drain.Instance]; known || instance == nil || instance.Emptied != stored.Offset && instance.Drain != stored.Offset {
		return drains
	}
	pool := instance.Pool
	g := GrantedDrain{Instance: drain.Instance, Reason: drain.Reason, Pool: pool, At: at, Serving: serving(tables, pool)}
	if rule, ok := tables.Rules().Pool(pool); ok {
		g.Need = rule.Size - rule.Budget
	}
	active[drain.Instance] = len(drains)
	return append(drains, g)
}

// serving counts the instances of a pool that are up and whose data centre is not taken out.
func serving(tables *fleet.Tables, pool id.Pool) int {
	n := 0
	for _, instance := range tables.Instances {
		out := false
		for _, dc := range tables.Rules().Outs {
			out = out || dc == instance.DataCentre
		}
		if instance.Pool == pool && instance.State == fleet.Up && !out {
			n++
		}
	}
	return n
}

// evidence collects the evidence of the trial. It clears faults of the log first, so that the log can be replayed.
func (t *Trial) evidence() (Evidence, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	t.fleet.Platform.Log.SetFault(standin.LogFault{})
	drains, err := ReplayDrains(ctx, t.fleet.Platform.Log.Copy())
	if err != nil {
		return Evidence{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Evidence{
		Calls: t.load.Calls(), WithdrawnKeyCalls: t.probes, Runs: t.fleet.Journal.Runs(), Events: t.events,
		Versions: t.versions, Drains: drains, Limits: append([]TeamShape{{Team: GuestTeam, Limit: guestLimit}}, t.fleet.Deployment.Teams...),
		Rollouts: t.rollouts, Reboots: t.fleet.Platform.Reboots(), UnplannedDown: id.Set[id.Instance]{}, Pools: map[id.Queue]id.Pool{}, OutDataCentre: t.outDataCentre(),
	}
	for _, p := range t.fleet.Deployment.Pools {
		e.Pools[p.Queue] = p.Pool
	}
	e.Pools["guests"] = t.fleet.Deployment.Pools[0].Pool
	for _, f := range t.config.Faults {
		if f.Name == "rack-lost" {
			e.UnplannedDown = id.NewSet(lostRack()...)
		}
		e.LossAllowed = e.LossAllowed || f.Name == "entry-killed"
		if f.Name == "cut-all" {
			e.IsolatedDataCentre, e.IsolationHold = t.fleet.Deployment.DataCentres[2], rules.DefaultHold
		}
	}
	return e, nil
}
