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

// keyMemory is the state of what this instance knows about used idempotency keys.
type keyMemory struct {
	complete  bool      // the used keys were learnt, or this instance started without them
	coldUntil time.Time // until then attempts made before the start may be unknown
}

// Bounds of the memory for idempotency keys.
const (
	maxKeyCount = 200_000
	keyBytes    = 900 // memory of a remembered key of the largest length
	keysShare   = 16  // one part in so many of the memory for all of them
)

// maxKeys returns how many keys an instance with so much memory remembers; 0 means that the memory is unknown.
func maxKeys(memory int64) int {
	if memory <= 0 {
		return maxKeyCount
	}
	return int(min(maxKeyCount, memory/keysShare/keyBytes))
}

// homeDataCentre returns the data centre that remembers a key: the prefix of the key before a dot if that is a data
// centre, else one derived from the key alone, so that all members find the same.
func (c *Control) homeDataCentre(key attempt.Key) id.DataCentre {
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

// dataCentrePeers returns the addresses of the other live members of a data centre that are in contact.
func (c *Control) dataCentrePeers(now time.Time, dc id.DataCentre) []netip.AddrPort {
	var list []netip.AddrPort
	for _, name := range c.tables.Live() {
		m := c.tables.Members[name]
		r, ok := c.remotes[name]
		if name != c.self && m.DataCentre == dc && ok && now.Sub(r.lastHeard) < c.contact() {
			list = append(list, m.Peer)
		}
	}
	return list
}

// reserve records an attempt in the home data centre of its key. The attempt must not start if that fails.
func (c *Control) reserve(ctx context.Context, a attempt.Attempt) error {
	var home id.DataCentre
	var peers []netip.AddrPort
	err := c.do(ctx, func() {
		home = c.homeDataCentre(a.Key)
		peers = c.dataCentrePeers(time.Now(), home)
	})
	if err != nil {
		return RefusedError{Status: statusUnavailable, Reason: err.Error()}
	}
	if home == c.config.DataCentre {
		reply, err := c.HandleReserve(ctx, peer.ReserveRequest{Attempt: a, Replicate: true})
		return c.reservationError(reply, err)
	}
	err = errors.Errorf("no instance of data centre %s is in contact", home)
	for _, to := range peers {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		var reply peer.ReserveReply
		reply, err = c.config.Peers.Reserve(callCtx, to, peer.ReserveRequest{Attempt: a, Replicate: true})
		cancel()
		if err == nil {
			return c.reservationError(reply, nil)
		}
	}
	return c.reservationError(peer.ReserveReply{}, err)
}

// reservationError returns the error that the caller gets for the reply to a reservation, or nil if it was granted.
func (c *Control) reservationError(reply peer.ReserveReply, err error) error {
	switch {
	case err != nil:
		return UnknownError{Status: statusUnavailable, Reason: "whether the key was used before cannot be known now: " + err.Error()}
	case reply.Granted:
		return nil
	case reply.Existing == nil:
		return UnknownError{Status: statusUnavailable, Reason: reply.Reason}
	}
	return UnknownError{Status: statusConflict, Ran: reply.Existing.State == attempt.Answered, Reason: reply.Reason}
}

// HandleReserve records an attempt. With Replicate it also has the other members of the data centre record it.
func (c *Control) HandleReserve(ctx context.Context, request peer.ReserveRequest) (peer.ReserveReply, error) {
	var reply peer.ReserveReply
	var peers []netip.AddrPort
	err := c.do(ctx, func() {
		now := time.Now()
		reply = c.recordAttempt(now, request.Attempt)
		peers = c.dataCentrePeers(now, c.config.DataCentre)
	})
	if err != nil || !reply.Granted || !request.Replicate {
		return reply, errors.Trace(err)
	}
	for _, to := range peers {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		memberReply, err := c.config.Peers.Reserve(callCtx, to, peer.ReserveRequest{Attempt: request.Attempt})
		cancel()
		if err != nil || !memberReply.Granted {
			c.cancelAttempt(request.Attempt)
			return memberReply, errors.Trace(err)
		}
	}
	return reply, nil
}

func (c *Control) recordAttempt(now time.Time, a attempt.Attempt) peer.ReserveReply {
	if !c.keyMemory.complete {
		return peer.ReserveReply{Reason: "this instance has not learnt the used keys yet"}
	}
	a.At = now
	err := c.attempts.Reserve(a)
	var used attempt.KeyUsedError
	switch {
	case errors.As(err, &used):
		return peer.ReserveReply{Reason: used.Error(), Existing: &used.First}
	case err != nil:
		return peer.ReserveReply{Reason: err.Error()}
	case now.Before(c.keyMemory.coldUntil):
		a.State = attempt.NotRun
		c.attempts.Finish(a)
		return peer.ReserveReply{Reason: "this data centre lost what it knew of used keys"}
	}
	return peer.ReserveReply{Granted: true}
}

// cancelAttempt marks an attempt that could not be reserved on all members as not run.
func (c *Control) cancelAttempt(a attempt.Attempt) {
	a.State = attempt.NotRun
	c.post(func() { c.attempts.Finish(a) })
}

// finishAttempt sends the result of an attempt to the members that remember it.
func (c *Control) finishAttempt(a attempt.Attempt) {
	c.post(func() {
		home := c.homeDataCentre(a.Key)
		c.attempts.Finish(a)
		for _, to := range c.dataCentrePeers(time.Now(), home) {
			select {
			case c.background.attemptEnds <- attemptEnd{to: to, attempt: a}:
			default:
			}
		}
	})
}

// attemptEnd is the result of an attempt to send to one member.
type attemptEnd struct {
	to      netip.AddrPort
	attempt attempt.Attempt
}

// finishLoop sends the results of attempts until the context ends. If a result is lost, the attempt stays open on that
// member, which refuses a repeat in the same way as for a used key.
func (c *Control) finishLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.background.attemptEnds:
			callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
			_ = c.config.Peers.Finish(callCtx, f.to, peer.Finish{Attempt: f.attempt})
			cancel()
		}
	}
}

// recallKeys learns the used keys from another member of the data centre. If none answers, startCold decides whether
// this instance may start without them.
func (c *Control) recallKeys(ctx context.Context) {
	var peers []netip.AddrPort
	done := false
	err := c.do(ctx, func() {
		done = c.keyMemory.complete || c.stage != serving
		peers = c.dataCentrePeers(time.Now(), c.config.DataCentre)
	})
	if err != nil || done {
		return
	}
	for _, to := range peers {
		callCtx, cancel := context.WithTimeout(ctx, c.timing.LogTimeout)
		recalled, err := c.config.Peers.Recall(callCtx, to)
		cancel()
		if err == nil {
			c.post(func() {
				c.attempts.Merge(recalled.Attempts)
				c.keyMemory.complete = true
			})
			return
		}
	}
	c.post(func() { c.startCold(time.Now()) })
}

// startCold starts without another member's knowledge of used keys. The first member of a data centre starts at once.
// Another one starts after twice the contact time and refuses keys until all attempts made before its start have
// expired.
func (c *Control) startCold(now time.Time) {
	if m := c.tables.Members[c.self]; m != nil && m.First {
		c.keyMemory.complete = true
		return
	}
	if now.Sub(c.servingSince) < 2*c.contact() {
		return
	}
	c.keyMemory.complete = true
	c.keyMemory.coldUntil = now.Add(attempt.Retention)
	c.log.Warn("no other instance of this data centre knows the used keys; refusing keyed requests for now", zap.Time("until", c.keyMemory.coldUntil))
}
