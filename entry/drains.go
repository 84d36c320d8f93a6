package entry

import (
	"context"
	"net/netip"
	"sort"
	"strconv"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// updateDrains confirms drains, and plans drains and borrows spare instances if this member holds those roles.
func (c *Control) updateDrains(now time.Time) {
	c.confirmDrains(now)
	if c.hasRole(waveRole, now) {
		c.planDrains(now)
	}
	if c.hasRole(spareRole, now) {
		c.borrowInstances(now)
	}
}

// confirmDrains reports to the log the draining instances on which this member runs nothing. While a member that the
// log does not know yet is in contact, no member confirms, since the drain could not wait for that member.
func (c *Control) confirmDrains(now time.Time) {
	if !c.lease.joined || c.lease.lapsed || c.hearsUnjoined(now) {
		return
	}
	record := fleet.Clear{Member: c.self}
	for name, instance := range c.tables.Instances {
		if instance.State != fleet.Draining || instance.Cleared.Has(c.self) {
			continue
		}
		if w := c.workers[name]; w != nil && w.running > 0 && !c.config.DisabledChecks.ClearEarly {
			continue
		}
		record.Drains = append(record.Drains, fleet.DrainID{Instance: name, Offset: instance.Drain})
	}
	if len(record.Drains) == 0 {
		return
	}
	sort.Slice(record.Drains, func(i, j int) bool { return record.Drains[i].Instance < record.Drains[j].Instance })
	subject := "clear"
	for _, drain := range record.Drains {
		subject += " " + strconv.FormatInt(drain.Offset, 10)
	}
	c.propose(now, subject, record)
}

func (c *Control) hearsUnjoined(now time.Time) bool {
	for _, r := range c.remotes {
		if r.unjoined && now.Sub(r.lastHeard) < c.contact()+contactGrace {
			return true
		}
	}
	return false
}

// candidate is an instance to drain, with the drain record to propose.
type candidate struct {
	name  id.Instance
	drain fleet.Drain
	rack  id.Rack
	pool  id.Pool
}

// planDrains proposes the drains that the rules require, as many at once in each pool as its disruption budget allows.
func (c *Control) planDrains(now time.Time) {
	allowed := map[id.Pool]int{}
	for _, rule := range c.tables.Rules().Pools {
		allowed[rule.Name] = c.tables.CountServing(rule.Name) - (rule.Size - rule.Budget)
	}
	for _, candidate := range c.candidates(now) {
		if allowed[candidate.pool] <= 0 && !c.tables.IgnoreBudget {
			continue
		}
		allowed[candidate.pool]--
		c.propose(now, "drain "+string(candidate.name), candidate.drain)
	}
}

// candidates returns the instances that the rules require to be drained. Those in racks with more instances out of
// service come first, so that a rack failure meanwhile affects fewer further instances.
func (c *Control) candidates(now time.Time) []candidate {
	outOfService := map[id.Rack]int{}
	var list []candidate
	for name, instance := range c.tables.Instances {
		if instance.State != fleet.Up {
			outOfService[instance.Rack]++
			continue
		}
		if drain, ok := c.wantedDrain(now, name, instance); ok {
			list = append(list, candidate{name: name, drain: drain, rack: instance.Rack, pool: instance.Pool})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if outOfService[a.rack] != outOfService[b.rack] {
			return outOfService[a.rack] > outOfService[b.rack]
		}
		if a.rack != b.rack {
			return a.rack < b.rack
		}
		return a.name < b.name
	})
	return list
}

// wantedDrain returns the drain that the rules require for an instance in service, and whether there is one.
func (c *Control) wantedDrain(now time.Time, name id.Instance, instance *fleet.Instance) (fleet.Drain, bool) {
	set := c.tables.Rules()
	for _, drain := range set.Drains {
		if drain.Instance == name {
			return fleet.Drain{Instance: name, Reason: fleet.ForHold}, true
		}
	}
	for _, move := range set.Moves {
		if move.Instance == name && move.Pool != instance.Pool {
			return fleet.Drain{Instance: name, Reason: fleet.ForMove, Pool: move.Pool}, true
		}
	}
	for _, wave := range set.Waves {
		if (wave.Pool == instance.Pool || wave.Pool == rules.AllPools) && !instance.Waves.Has(wave.Name) {
			return fleet.Drain{Instance: name, Reason: fleet.ForReboot, Wave: wave.Name}, true
		}
	}
	for _, maintain := range set.Maintains {
		if now.Sub(instance.Maintained) > maintain.Every {
			return fleet.Drain{Instance: name, Reason: fleet.ForReboot, Wave: maintain.Name}, true
		}
	}
	return fleet.Drain{}, false
}

// rebootTarget is an instance to reboot or to probe.
type rebootTarget struct {
	name      id.Instance
	address   netip.AddrPort
	token     string
	requested bool
}

// reboot requests reboots of empty instances from the platform, and proposes to restore those that answer again.
func (c *Control) reboot(ctx context.Context) {
	var targets []rebootTarget
	err := c.do(ctx, func() {
		for name, instance := range c.tables.Instances {
			if instance.State != fleet.Rebooting {
				continue
			}
			token := string(name) + "-" + strconv.FormatInt(instance.Emptied, 10)
			targets = append(targets, rebootTarget{name: name, address: instance.Address, token: token, requested: c.background.rebooted[token]})
		}
	})
	if err != nil {
		return
	}
	for _, r := range targets {
		c.rebootOne(ctx, r)
	}
}

func (c *Control) rebootOne(ctx context.Context, r rebootTarget) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	if !r.requested {
		if err := c.config.Fleet.Reboot(ctx, r.name, r.token); err != nil {
			c.log.Warn("requesting a reboot from the platform failed", zap.String("instance", string(r.name)), zap.Error(err))
			return
		}
		c.post(func() { c.background.rebooted[r.token] = true })
		return
	}
	if c.config.Endpoints.Probe(ctx, r.address) == nil {
		c.restoreOne(r.name)
	}
}

func (c *Control) restoreOne(name id.Instance) {
	c.post(func() {
		c.propose(time.Now(), "restore "+string(name), fleet.Restore{Instances: []id.Instance{name}})
	})
}

// restoreHeld proposes to restore held instances whose drain rule was removed.
func (c *Control) restoreHeld(ctx context.Context) {
	err := c.do(ctx, func() {
		wanted := id.Set[id.Instance]{}
		for _, drain := range c.tables.Rules().Drains {
			wanted.Add(drain.Instance)
		}
		for name, instance := range c.tables.Instances {
			if instance.State == fleet.Held && instance.Reason == fleet.ForHold && !wanted.Has(name) {
				c.propose(time.Now(), "restore "+string(name), fleet.Restore{Instances: []id.Instance{name}})
			}
		}
	})
	if err != nil {
		c.log.Debug("restoring held instances failed", zap.Error(err))
	}
}

// probeDown probes workers that are down or marked failed.
func (c *Control) probeDown(ctx context.Context) {
	var targets []rebootTarget
	err := c.do(ctx, func() {
		for name, instance := range c.tables.Instances {
			w := c.workers[name]
			unresponsive := w != nil && !w.downSince.IsZero()
			if instance.State == fleet.Failed && c.hasRole(waveRole, time.Now()) || instance.State == fleet.Up && unresponsive {
				targets = append(targets, rebootTarget{name: name, address: instance.Address})
			}
		}
	})
	if err != nil || len(targets) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	for _, target := range targets[:min(len(targets), maxProbes)] {
		err := c.config.Endpoints.Probe(callCtx, target.address)
		c.post(func() { c.recordProbe(time.Now(), target.name, err == nil) })
	}
}

// maxProbes is the maximum number of workers probed in one round.
const maxProbes = 16

// recordProbe records the result of a probe. It proposes to restore a failed worker that answers, and to mark as
// failed a worker that has been down for longer than FailTimeout.
func (c *Control) recordProbe(now time.Time, name id.Instance, ok bool) {
	w := c.workers[name]
	instance := c.tables.Instances[name]
	if w == nil || instance == nil {
		return
	}
	switch {
	case ok && instance.State == fleet.Failed:
		w.downSince = time.Time{}
		c.propose(now, "restore "+string(name), fleet.Restore{Instances: []id.Instance{name}})
	case ok:
		w.downSince = time.Time{}
		w.avoidUntil = time.Time{}
	case instance.State == fleet.Up && !w.downSince.IsZero() && now.Sub(w.downSince) > c.timing.FailTimeout && c.dcAnswers(w):
		c.propose(now, "fail "+string(name), fleet.Fail{Instances: []id.Instance{name}})
	}
}

// dcAnswers reports whether some worker in the data centre of a worker that is down answers. If none does, this
// instance may be cut off from that data centre and must not mark its workers as failed.
func (c *Control) dcAnswers(down *worker) bool {
	if down.dc == c.config.DataCentre {
		return true
	}
	for _, w := range c.workers {
		if w.dc == down.dc && w.downSince.IsZero() {
			return true
		}
	}
	return false
}
