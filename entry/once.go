package entry

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/attempt"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/peer"
)

// memory is how far this instance can vouch for idempotency keys.
type memory struct {
	complete bool      // it knows what the other members of its data centre know
	cold     time.Time // until then it cannot know of attempts that were made before its start
}

// home returns the data centre that remembers a key: the one that the key names before a dot, or
// one derived from the key alone, so that every member finds the same.
func (c *Control) home(key attempt.Key) id.DataCentre {
	prefix, _, _ := strings.Cut(key.Value, ".")
	if c.tables.SeenDataCentres[id.DataCentre(prefix)] {
		return id.DataCentre(prefix)
	}
	var names []string
	for dc := range c.tables.SeenDataCentres {
		names = append(names, string(dc))
	}
	if len(names) == 0 {
		return c.config.DataCentre
	}
	return id.DataCentre(rendezvous.New(names, xxhash.Sum64String).Lookup(string(key.Team) + " " + key.Value))
}

// mates returns the addresses of the other live members of a data centre that have been heard of
// late.
func (c *Control) mates(now time.Time, dc id.DataCentre) []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range c.tables.Live() {
		m := c.tables.Members[name]
		r, ok := c.remotes[name]
		if name != c.self && m.DataCentre == dc && ok && now.Sub(r.heard) < c.contact() {
			list = append(list, m.Peer)
		}
	}
	return list
}

// reserve records an attempt in its key's home data centre; without that it must not start.
func (c *Control) reserve(ctx context.Context, a attempt.Attempt) error {
	var home id.DataCentre
	var mates []netip.AddrPort
	err := c.do(ctx, func() {
		home = c.home(a.Key)
		mates = c.mates(time.Now(), home)
	})
	if err != nil {
		return RefusedError{Status: statusUnavailable, Reason: err.Error()}
	}
	if home == c.config.DataCentre {
		reserved, err := c.HandleReserve(ctx, peer.ReserveRequest{Attempt: a, Spread: true})
		return c.reservation(reserved, err)
	}
	err = errors.Errorf("no instance of data centre %s is in contact", home)
	for _, to := range mates {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		var reserved peer.ReserveReply
		reserved, err = c.config.Peers.Reserve(call, to, peer.ReserveRequest{Attempt: a, Spread: true})
		cancel()
		if err == nil {
			return c.reservation(reserved, nil)
		}
	}
	return c.reservation(peer.ReserveReply{}, err)
}

// reservation turns the answer to a reservation into what the caller is told.
func (c *Control) reservation(reserved peer.ReserveReply, err error) error {
	switch {
	case err != nil:
		return UnknownError{Status: statusUnavailable, Reason: "whether the key was used before cannot be known now: " + err.Error()}
	case reserved.Granted:
		return nil
	case reserved.First == nil:
		return UnknownError{Status: statusUnavailable, Reason: reserved.Reason}
	}
	return UnknownError{Status: statusConflict, Ran: reserved.First.State == attempt.Answered, Reason: reserved.Reason}
}

// HandleReserve remembers an attempt, and with Spread has the rest of the data centre remember it.
func (c *Control) HandleReserve(ctx context.Context, m peer.ReserveRequest) (peer.ReserveReply, error) {
	var answer peer.ReserveReply
	var mates []netip.AddrPort
	err := c.do(ctx, func() {
		now := time.Now()
		answer = c.remember(now, m.Attempt)
		mates = c.mates(now, c.config.DataCentre)
	})
	if err != nil || !answer.Granted || !m.Spread {
		return answer, errors.Trace(err)
	}
	for _, to := range mates {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		spread, err := c.config.Peers.Reserve(call, to, peer.ReserveRequest{Attempt: m.Attempt})
		cancel()
		if err != nil || !spread.Granted {
			c.takeBack(m.Attempt)
			return spread, errors.Trace(err)
		}
	}
	return answer, nil
}

func (c *Control) remember(now time.Time, a attempt.Attempt) peer.ReserveReply {
	if !c.memory.complete {
		return peer.ReserveReply{Reason: "this instance has not learnt the used keys yet"}
	}
	a.At = now
	err := c.attempts.Reserve(a)
	var used attempt.KeyUsedError
	switch {
	case errors.As(err, &used):
		return peer.ReserveReply{Reason: used.Error(), First: &used.First}
	case err != nil:
		return peer.ReserveReply{Reason: err.Error()}
	case now.Before(c.memory.cold):
		a.State = attempt.NotRun
		c.attempts.Finish(a)
		return peer.ReserveReply{Reason: "this data centre lost what it knew of used keys"}
	}
	return peer.ReserveReply{Granted: true}
}

// takeBack marks an attempt that could not be reserved everywhere as not run.
func (c *Control) takeBack(a attempt.Attempt) {
	a.State = attempt.NotRun
	c.post(func() { c.attempts.Finish(a) })
}

// finishAttempt tells the members that remember an attempt what it came to.
func (c *Control) finishAttempt(a attempt.Attempt) {
	c.post(func() {
		home := c.home(a.Key)
		c.attempts.Finish(a)
		for _, to := range c.mates(time.Now(), home) {
			select {
			case c.upkeep.finishes <- finish{to: to, attempt: a}:
			default:
			}
		}
	})
}

// finish is the end of an attempt on its way to a member.
type finish struct {
	to      netip.AddrPort
	attempt attempt.Attempt
}

// finishLoop sends ends of attempts until the context ends. One that is lost leaves the attempt
// open there, which refuses a repeat as a used key does.
func (c *Control) finishLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.upkeep.finishes:
			call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
			_ = c.config.Peers.Finish(call, f.to, peer.Finish{Attempt: f.attempt})
			cancel()
		}
	}
}

// recall learns the used keys from another member of the data centre; when there is none though
// there was one before, keys used before this start cannot be known until they are too old to matter.
func (c *Control) recall(ctx context.Context) {
	var mates []netip.AddrPort
	done := false
	err := c.do(ctx, func() {
		done = c.memory.complete || c.stage != serving
		mates = c.mates(time.Now(), c.config.DataCentre)
	})
	if err != nil || done {
		return
	}
	for _, to := range mates {
		call, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		recalled, err := c.config.Peers.Recall(call, to)
		cancel()
		if err == nil {
			c.post(func() {
				c.attempts.Merge(recalled.Attempts)
				c.memory.complete = true
			})
			return
		}
	}
	c.post(func() { c.startCold(time.Now()) })
}

// startCold begins without another member's knowledge: at once when no member of the data centre came
// before this one, and else after a while, refusing keys for as long as earlier ones would be kept.
func (c *Control) startCold(now time.Time) {
	if m := c.tables.Members[c.self]; m != nil && m.First {
		c.memory.complete = true
		return
	}
	if now.Sub(c.began) < 2*c.contact() {
		return
	}
	c.memory.complete = true
	c.memory.cold = now.Add(attempt.Retention)
	c.log.Warn("no other instance of this data centre knows the used keys; keys are refused for a while", zap.Time("until", c.memory.cold))
}
