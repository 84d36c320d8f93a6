package instance

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Names of the group and of the topic whose parts stand for pools.
const (
	groupName  = "instances"
	groupTopic = "owners"
)

// Times of the membership.
const (
	joinInterval  = 300 * time.Millisecond
	usualTTL      = 1100 * time.Millisecond // silence after which an instance loses its pools
	reclaimPause  = 700 * time.Millisecond  // after a pool was claimed by another instance
	handoverLimit = 1500 * time.Millisecond // for giving up the pools of an instance that stops
)

// membership keeps this instance in the group and starts and ends pools as the group hands them out.
type membership struct {
	instance   *Instance
	generation int64
	parts      []int
	listed     int64 // generation whose owners are known
	quiet      map[string]time.Duration
}

func (m *membership) member() stream.Member {
	set := m.instance.config.Settings
	return stream.Member{
		Group: groupName, Name: set.Peers.String(), Topic: groupTopic,
		TTL: max(usualTTL, set.MinTTL), Generation: m.generation,
	}
}

func (m *membership) loop(ctx context.Context) error {
	m.quiet = map[string]time.Duration{}
	for {
		m.join(ctx)
		m.assign(ctx)
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-m.instance.leave:
			m.giveUp()
			<-ctx.Done()
			return errors.Trace(ctx.Err())
		case <-time.After(joinInterval):
		}
	}
}

// join renews the membership and learns who owns what after a change.
func (m *membership) join(ctx context.Context) {
	n := m.instance
	assigned, err := n.config.Groups.Join(ctx, m.member())
	if err != nil {
		n.config.Logger.Debug("could not renew the membership", zap.Error(err))
		return
	}
	n.hear()
	if assigned.Generation != m.generation || !slices.Equal(assigned.Parts, m.parts) {
		n.config.Logger.Info("parts assigned", zap.Int64("generation", assigned.Generation), zap.Ints("parts", assigned.Parts))
	}
	m.generation, m.parts = assigned.Generation, assigned.Parts
	if m.listed == m.generation && !n.ownersMissing() {
		return
	}
	owners, err := n.config.Groups.Owners(ctx, groupName)
	if err != nil {
		return
	}
	m.listed = m.generation
	n.setOwners(owners)
}

func (n *Instance) setOwners(owners []stream.Owner) {
	list := make([]string, n.config.Settings.Parts)
	for _, o := range owners {
		if o.Part >= 0 && o.Part < len(list) {
			list[o.Part] = o.Member
		}
	}
	n.mu.Lock()
	n.owners = list
	n.mu.Unlock()
}

func (n *Instance) ownersMissing() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.owners) == 0 || slices.Contains(n.owners, "")
}

// assign starts the pools that are this instance's and ends the others.
func (m *membership) assign(ctx context.Context) {
	n := m.instance
	n.mu.RLock()
	c := n.catalog
	n.mu.RUnlock()
	if c == nil {
		return
	}
	now := n.config.Clock.Moment().Steady
	wanted := map[string]bool{}
	for _, unit := range units(c) {
		if slices.Contains(m.parts, partOf(c, unit, n.config.Settings.Parts)) {
			wanted[unit] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for unit, o := range n.shards {
		select {
		case <-o.done:
			delete(n.shards, unit)
			m.quiet[unit] = now + reclaimPause
			continue
		default:
		}
		if !wanted[unit] {
			o.cancel()
			delete(n.shards, unit)
			n.config.Logger.Info("gave up a pool", zap.String("pool", unit))
		}
	}
	for unit := range wanted {
		if _, running := n.shards[unit]; !running && now >= m.quiet[unit] {
			n.start(ctx, unit)
		}
	}
}

// start runs a unit; the caller holds the lock.
func (n *Instance) start(ctx context.Context, unit string) {
	ctx, cancel := context.WithCancel(ctx)
	o := &owned{cancel: cancel, done: make(chan struct{})}
	n.shards[unit] = o
	if unit == fleetUnit {
		go o.run(ctx, unit, n.config.Logger, n.keeper())
		return
	}
	o.shard = n.shard(unit)
	go o.run(ctx, unit, n.config.Logger, o.shard)
}

func (n *Instance) shard(unit string) *shard.Shard {
	set := n.config.Settings
	return shard.New(shard.Config{
		Pool: unit, Holder: set.Name, Log: n.config.Log, Workers: n.config.Workers, Advisor: n.config.Advisor,
		Clock: n.config.Clock, Logger: n.config.Logger, Observer: n.config.Metrics.Observer(unit, n.config.Logger),
		Settings: shard.Settings{Lease: set.Lease(), Retention: set.Retention, StopTime: set.StopTime, Harm: set.Harm},
		View:     func() shard.View { return n.view(unit) },
	})
}

func (n *Instance) keeper() *machines.Keeper {
	return machines.NewKeeper(machines.KeeperConfig{
		Holder: n.config.Settings.Name, Log: n.config.Log, Status: n.config.Tables.Status, Codec: n.config.Codec,
		Machines: n.config.Machines, Clock: n.config.Clock, Logger: n.config.Logger, Turn: n.config.Settings.Turn,
		View: n.published, Ask: n.giveOrders,
	})
}

// runner is a pool or the keeper of the instances.
type runner interface {
	Run(ctx context.Context) error
}

func (o *owned) run(ctx context.Context, unit string, logger *zap.Logger, r runner) {
	defer close(o.done)
	defer o.cancel()
	err := r.Run(ctx)
	logger.Info("unit is owned here no longer", zap.String("unit", unit), zap.Error(err))
}

// giveUp ends all pools and leaves the group, so that others take over at once.
func (m *membership) giveUp() {
	n := m.instance
	defer close(n.left)
	n.mu.Lock()
	ending := n.shards
	n.shards = map[string]*owned{}
	n.mu.Unlock()
	for _, o := range ending {
		o.cancel()
		<-o.done
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverLimit)
	defer cancel()
	if err := n.config.Groups.Leave(ctx, m.member()); err != nil {
		n.config.Logger.Warn("could not leave the group", zap.Error(err))
		return
	}
	n.config.Logger.Info("left the group", zap.Int("pools", len(ending)))
}
