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

// tendDrains confirms drains here, and plans the next ones if that falls to this member.
func (c *Control) tendDrains(now time.Time) {
	c.confirm(now)
	if c.has(waveDuty, now) {
		c.plan(now)
	}
	if c.has(spareDuty, now) {
		c.borrow(now)
	}
}

// confirm tells the log which draining instances this member has nothing on. While a member that
// the log does not know yet is heard, nobody confirms, since it could not be waited for.
func (c *Control) confirm(now time.Time) {
	if !c.lease.joined || c.lease.lapsed || c.hearsGuest(now) {
		return
	}
	clear := fleet.Clear{Member: c.self}
	for name, instance := range c.tables.Instances {
		if instance.State != fleet.Draining || instance.Cleared.Has(c.self) {
			continue
		}
		if w := c.workers[name]; w != nil && w.running > 0 && !c.config.Planted.ClearEarly {
			continue
		}
		clear.Drains = append(clear.Drains, fleet.DrainID{Instance: name, Offset: instance.Drain})
	}
	if len(clear.Drains) == 0 {
		return
	}
	sort.Slice(clear.Drains, func(i, j int) bool { return clear.Drains[i].Instance < clear.Drains[j].Instance })
	subject := "clear"
	for _, drain := range clear.Drains {
		subject += " " + strconv.FormatInt(drain.Offset, 10)
	}
	c.propose(now, subject, clear)
}

func (c *Control) hearsGuest(now time.Time) bool {
	for _, r := range c.remotes {
		if r.guest && now.Sub(r.heard) < c.contact()+contactGrace {
			return true
		}
	}
	return false
}

// candidate is an instance that should be drained, and why.
type candidate struct {
	name  id.Instance
	drain fleet.Drain
	rack  id.Rack
	pool  id.Pool
}

// plan proposes the drains that rules ask for, as many of each pool at once as its budget allows.
func (c *Control) plan(now time.Time) {
	allowed := map[id.Pool]int{}
	for _, rule := range c.tables.Rules().Pools {
		allowed[rule.Name] = c.tables.CountServing(rule.Name) - (rule.Size - rule.Budget)
	}
	for _, next := range c.candidates(now) {
		if allowed[next.pool] <= 0 && !c.tables.IgnoreBudget {
			continue
		}
		allowed[next.pool]--
		c.propose(now, "drain "+string(next.name), next.drain)
	}
}

// candidates returns the instances that rules want drained. Those in racks that are already
// disturbed come first, so that a rack that fails meanwhile takes fewer further instances along.
func (c *Control) candidates(now time.Time) []candidate {
	disturbed := map[id.Rack]int{}
	var list []candidate
	for name, instance := range c.tables.Instances {
		if instance.State != fleet.Up {
			disturbed[instance.Rack]++
			continue
		}
		if drain, ok := c.wanted(now, name, instance); ok {
			list = append(list, candidate{name: name, drain: drain, rack: instance.Rack, pool: instance.Pool})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if disturbed[a.rack] != disturbed[b.rack] {
			return disturbed[a.rack] > disturbed[b.rack]
		}
		if a.rack != b.rack {
			return a.rack < b.rack
		}
		return a.name < b.name
	})
	return list
}

// wanted returns the drain that rules ask for on an instance in service and whether there is one.
func (c *Control) wanted(now time.Time, name id.Instance, instance *fleet.Instance) (fleet.Drain, bool) {
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

// rebooting is an empty instance that the platform should restart or has restarted.
type rebooting struct {
	name    id.Instance
	address netip.AddrPort
	token   string
	asked   bool
}

// reboot has the platform restart empty instances, and brings those back that are ready again.
func (c *Control) reboot(ctx context.Context) {
	var list []rebooting
	err := c.do(ctx, func() {
		for name, instance := range c.tables.Instances {
			if instance.State != fleet.Rebooting {
				continue
			}
			token := string(name) + "-" + strconv.FormatInt(instance.Emptied, 10)
			list = append(list, rebooting{name: name, address: instance.Address, token: token, asked: c.upkeep.rebooted[token]})
		}
	})
	if err != nil {
		return
	}
	for _, r := range list {
		c.rebootOne(ctx, r)
	}
}

func (c *Control) rebootOne(ctx context.Context, r rebooting) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	if !r.asked {
		if err := c.config.Fleet.Reboot(ctx, r.name, r.token); err != nil {
			c.log.Warn("the platform did not confirm a reboot", zap.String("instance", string(r.name)), zap.Error(err))
			return
		}
		c.post(func() { c.upkeep.rebooted[r.token] = true })
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

// restoreHeld brings instances back whose drain rule is gone.
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
		c.log.Debug("looking for held instances failed", zap.Error(err))
	}
}

// tendDown probes workers that do not answer, takes those out of service in the tables that stay
// silent, and brings those back that answer again.
func (c *Control) tendDown(ctx context.Context) {
	var down []rebooting
	err := c.do(ctx, func() {
		for name, instance := range c.tables.Instances {
			w := c.workers[name]
			silent := w != nil && !w.down.IsZero()
			if instance.State == fleet.Failed && c.has(waveDuty, time.Now()) || instance.State == fleet.Up && silent {
				down = append(down, rebooting{name: name, address: instance.Address})
			}
		}
	})
	if err != nil || len(down) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
	defer cancel()
	for _, d := range down[:min(len(down), maxProbes)] {
		err := c.config.Endpoints.Probe(call, d.address)
		c.post(func() { c.probed(time.Now(), d.name, err == nil) })
	}
}

// maxProbes bounds the workers probed in one round.
const maxProbes = 16

// probed takes in whether a worker answered a probe.
func (c *Control) probed(now time.Time, name id.Instance, ok bool) {
	w := c.workers[name]
	instance := c.tables.Instances[name]
	if w == nil || instance == nil {
		return
	}
	switch {
	case ok && instance.State == fleet.Failed:
		w.down = time.Time{}
		c.propose(now, "restore "+string(name), fleet.Restore{Instances: []id.Instance{name}})
	case ok:
		w.down = time.Time{}
		w.avoid = time.Time{}
	case instance.State == fleet.Up && !w.down.IsZero() && now.Sub(w.down) > c.timing.FailAfter && c.dcAnswers(w):
		c.propose(now, "fail "+string(name), fleet.Fail{Instances: []id.Instance{name}})
	}
}

// dcAnswers reports whether some worker in the data centre of one that is down answers; if none
// does, this instance is cut off from there and must not call the workers failed.
func (c *Control) dcAnswers(down *worker) bool {
	if down.dc == c.config.DataCentre {
		return true
	}
	for _, w := range c.workers {
		if w.dc == down.dc && w.down.IsZero() {
			return true
		}
	}
	return false
}
