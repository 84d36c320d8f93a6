package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// Submit stores a job. The job is accepted if no error is returned. It may run after an UnknownError, and does not run
// after any other error.
func (n *Instance) Submit(ctx context.Context, q catalog.Queue, spec job.Spec) error {
	for {
		err := n.submitUnder(ctx, q, spec)
		var moved movedError
		if !errors.As(err, &moved) {
			return n.spreadRetry(err, q, &spec)
		}
		next, err := n.awaitMove(ctx, q)
		if err != nil {
			return n.spreadRetry(err, q, &spec)
		}
		q = next
	}
}

// maxRetryAfter is the longest delay of a caller whose job this instance could neither hand to the owner nor store.
const maxRetryAfter = 3 * time.Second

// spreadRetry spreads the retries of rejected jobs over 1 to 3 s by a hash of the job ID, in whole seconds as in
// Retry-After, so that the callers whom an instance rejects while it reaches nobody do not return together. Jobs without
// an objective, and those of configurations without weights of teams, keep the usual delay.
func (n *Instance) spreadRetry(err error, q catalog.Queue, spec *job.Spec) error {
	var notReady NotReadyError
	if !errors.As(err, &notReady) || q.Stretch <= 0 && q.Target <= 0 || !spec.Once() || !n.hasWeights() {
		return err
	}
	seconds := 1 + xxhash.Sum64String(string(spec.ID))%uint64(maxRetryAfter/time.Second)
	notReady.Retry = time.Duration(seconds) * time.Second
	return notReady
}

// hasWeights reports whether the configuration gives weights to teams.
func (n *Instance) hasWeights() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.catalog != nil && slices.ContainsFunc(n.catalog.Teams, func(t catalog.Team) bool { return t.Weight > 0 })
}

// submitUnder stores a job under the configuration that a queue is part of. After a movedError the job does not run.
func (n *Instance) submitUnder(ctx context.Context, q catalog.Queue, spec job.Spec) error {
	spec.Queue, spec.Pool = q.Name, q.Pool
	spec.Policy = job.Policy{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target, Advised: q.Advised}
	spec.Accepted = n.config.Clock.Moment().Wall
	if err := spec.Check(); err != nil {
		return err
	}
	h, err := n.holderOf(ctx, q)
	if err != nil {
		return err
	}
	spec.Route, spec.Version = h.route, h.version
	if presence, err := n.findIn(ctx, n.otherPools(h.route, h.pool), h, spec.ID); err != nil || presence.Known() {
		return err
	}
	err = n.submitToOwner(ctx, spec)
	var overloaded OverloadedError
	var moved movedError
	if err == nil || errors.As(err, &overloaded) || errors.As(err, &moved) {
		return err
	}
	var rejected shard.RejectedError
	mayBeStored := !errors.As(err, &rejected)
	if !mayBeStored && n.isStoreSilent() {
		return NotReadyError{Reason: "the store does not answer", Retry: retryAfter}
	}
	if !n.mayStore(spec.MemoryBytes()) {
		return storeBudgetError(mayBeStored)
	}
	record, err := shard.SpecRecord(&spec)
	if err != nil {
		return err
	}
	_, err = n.store(ctx, shard.IntakeTable(q.Pool), record, mayBeStored)
	return err
}

// submitSilenceLimit is the time without a reply of the store after which a job that its owner has not
// stored is rejected at once.
const submitSilenceLimit = 1500 * time.Millisecond

func (n *Instance) isStoreSilent() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.config.Clock.Moment().Steady-n.lastReply > submitSilenceLimit
}

// ownerTimeout bounds a submission or a cancellation at the owner of a pool.
const ownerTimeout = 1200 * time.Millisecond

// submitToOwner submits a job to the owner of its pool. After an OverloadedError, a movedError or a shard.RejectedError the
// owner has not stored the job. After any other error the job may be stored, but only once however often it is submitted.
func (n *Instance) submitToOwner(ctx context.Context, spec job.Spec) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(spec.Pool)
	if err != nil {
		return shard.RejectedError{Reason: err.Error()}
	}
	if here != nil {
		err := here.Submit(ctx, spec)
		var overloaded pool.OverloadedError
		var sealed shard.SealedError
		switch {
		case errors.As(err, &overloaded):
			return OverloadedError{Retry: overloaded.Wait, Reason: overloaded.Reason}
		case errors.As(err, &sealed):
			return movedError{Queue: spec.Queue}
		}
		return err
	}
	reply, err := n.config.Peers.Submit(ctx, owner, spec)
	switch {
	case peer.FailedBeforeSend(err):
		return shard.RejectedError{Reason: err.Error()}
	case err == nil && reply.Rejected:
		return OverloadedError{Retry: reply.RetryAfter, Reason: reply.Reason}
	case err == nil && reply.Sealed:
		return movedError{Queue: spec.Queue}
	case err == nil && reply.NotStored:
		return shard.RejectedError{Reason: "the owner can store nothing"}
	}
	return err
}

// store appends a record without a fence, directly or through another instance, and returns its offset. The parameter
// indeterminate tells whether the record may already be stored by an earlier call.
func (n *Instance) store(ctx context.Context, t stream.Table, r stream.Record, indeterminate bool) (int64, error) {
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		offset, err := n.config.Log.Append(ctx, t, []stream.Record{r}, nil)
		if err == nil {
			n.recordReply()
			return offset, nil
		}
		last = err
		var notDone stream.NotDoneError
		indeterminate = indeterminate || !errors.As(err, &notDone)
		reply := n.storeViaPeer(ctx, try, t, r)
		if reply.Stored {
			return reply.Offset, nil
		}
		indeterminate = indeterminate || reply.Indeterminate
		sleep(ctx, retryDelay)
	}
	if indeterminate {
		return 0, UnknownError{Reason: errText(last)}
	}
	return 0, NotReadyError{Reason: errText(last), Retry: retryAfter}
}

func errText(err error) string {
	if err == nil {
		return "no time was left"
	}
	return err.Error()
}

// storeViaPeer asks another instance to append a record.
func (n *Instance) storeViaPeer(ctx context.Context, try int, t stream.Table, r stream.Record) relay.StoreReply {
	others := n.others()
	if len(others) == 0 {
		return relay.StoreReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := n.config.Peers.Store(ctx, others[try%len(others)], relay.StoreRequest{Table: t, Records: []stream.Record{r}})
	if err != nil {
		return relay.StoreReply{Indeterminate: true}
	}
	return reply
}

// others returns the other live instances.
func (n *Instance) others() []netip.AddrPort {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var list []netip.AddrPort
	for _, m := range n.alive {
		if m.Address != n.config.Settings.Peers {
			list = append(list, m.Address)
		}
	}
	return list
}
