package instance

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// Timeouts and delays of callers' requests.
const (
	retryDelay  = 60 * time.Millisecond // between two attempts of one request
	peerTimeout = 800 * time.Millisecond
	retryAfter  = time.Second
)

// Admit returns the queue that a request is routed to and the team that its key belongs to.
func (n *Instance) Admit(host, path, key string) (catalog.Queue, string, error) {
	n.mu.RLock()
	c := n.catalog
	n.mu.RUnlock()
	if c == nil {
		return catalog.Queue{}, "", NotReadyError{Reason: "no configuration yet", Retry: retryAfter}
	}
	q := c.Queue(host, path)
	if q == nil {
		return catalog.Queue{}, "", NoQueueError{Host: host, Path: path}
	}
	found := *q
	found.Version = c.Version
	team := c.ByKey(key)
	if team != nil {
		return found, team.Name, nil
	}
	if !q.Public {
		return found, "", KeyError{}
	}
	return found, "", nil
}

// MaxBodyBytes returns the maximum length of a request body in bytes.
func (n *Instance) MaxBodyBytes() int64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.catalog == nil || n.catalog.MaxBodyBytes <= 0 {
		return defaultBodyBytes
	}
	return n.catalog.MaxBodyBytes
}

const defaultBodyBytes = 256 << 10

// Submit stores a job. The job is accepted if no error is returned. It may run after an UnknownError, and does not run
// after any other error.
func (n *Instance) Submit(ctx context.Context, q catalog.Queue, spec job.Spec) error {
	for {
		err := n.submitUnder(ctx, q, spec)
		var moved movedError
		if !errors.As(err, &moved) {
			return err
		}
		if q, err = n.awaitMove(ctx, q); err != nil {
			return err
		}
	}
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
	if known, err := n.isHeldBy(ctx, n.otherPools(h.route, h.pool), h, spec.ID); err != nil || known {
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
	record, err := shard.SpecRecord(&spec)
	if err != nil {
		return err
	}
	return n.store(ctx, shard.IntakeTable(q.Pool), record, mayBeStored)
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
			return OverloadedError{Retry: overloaded.Wait}
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
		return OverloadedError{Retry: reply.RetryAfter}
	case err == nil && reply.Sealed:
		return movedError{Queue: spec.Queue}
	case err == nil && reply.NotStored:
		return shard.RejectedError{Reason: "the owner can store nothing"}
	}
	return err
}

// cancelAtOwner asks the owner of a pool to cancel a job and reports whether the owner knows the job.
func (n *Instance) cancelAtOwner(ctx context.Context, shardName string, name job.ID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(shardName)
	if err != nil {
		return false, err
	}
	if here != nil {
		return here.Cancel(ctx, name)
	}
	answer, err := n.config.Peers.Cancel(ctx, owner, relay.JobRequest{Pool: shardName, Job: name})
	return answer.Known, err
}

// store appends a record without a fence, directly or through another instance. The parameter indeterminate tells
// whether the record may already be stored by an earlier call.
func (n *Instance) store(ctx context.Context, t stream.Table, r stream.Record, indeterminate bool) error {
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		_, err := n.config.Log.Append(ctx, t, []stream.Record{r}, nil)
		if err == nil {
			n.recordReply()
			return nil
		}
		last = err
		var notDone stream.NotDoneError
		indeterminate = indeterminate || !errors.As(err, &notDone)
		if done, mayBeStored := n.storeViaPeer(ctx, try, t, r); done {
			return nil
		} else if mayBeStored {
			indeterminate = true
		}
		sleep(ctx, retryDelay)
	}
	if indeterminate {
		return UnknownError{Reason: errText(last)}
	}
	return NotReadyError{Reason: errText(last), Retry: retryAfter}
}

func errText(err error) string {
	if err == nil {
		return "no time was left"
	}
	return err.Error()
}

// storeViaPeer asks another instance to append a record. The result mayBeStored reports that a failed append may still
// be applied.
func (n *Instance) storeViaPeer(ctx context.Context, try int, t stream.Table, r stream.Record) (done, mayBeStored bool) {
	others := n.others()
	if len(others) == 0 {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := n.config.Peers.Store(ctx, others[try%len(others)], relay.StoreRequest{Table: t, Records: []stream.Record{r}})
	if err != nil {
		return false, true
	}
	return reply.Stored, reply.Indeterminate
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

// State returns the state of a job.
func (n *Instance) State(ctx context.Context, q catalog.Queue, name job.ID) (job.State, error) {
	state, _, err := n.locate(ctx, q, name)
	return state, err
}

// locate finds a job in the pool of its queue, or in another pool that the queue had in an earlier configuration.
func (n *Instance) locate(ctx context.Context, q catalog.Queue, name job.ID) (job.State, string, error) {
	for _, shardName := range n.poolsFrom(q.Pool) {
		state, known, err := n.queryStateWithRetry(ctx, shardName, name)
		if err != nil {
			return 0, shardName, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
		if known {
			return state, shardName, nil
		}
	}
	return 0, "", NoJobError{Job: name}
}

// poolsFrom returns all pools that run tasks, the given one first.
func (n *Instance) poolsFrom(first string) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	pools := []string{first}
	for _, p := range n.catalog.Serving() {
		if p != first {
			pools = append(pools, p)
		}
	}
	return pools
}

// queryStateWithRetry asks the owner of a pool for the state of a job until it replies or the context ends.
func (n *Instance) queryStateWithRetry(ctx context.Context, shardName string, name job.ID) (job.State, bool, error) {
	for {
		state, known, err := n.queryState(ctx, shardName, name)
		if err == nil {
			return state, known, nil
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return 0, false, err
		}
	}
}

func (n *Instance) queryState(ctx context.Context, shardName string, name job.ID) (job.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	owner, here, err := n.owner(shardName)
	if err != nil {
		return 0, false, err
	}
	if here != nil {
		return here.State(ctx, name)
	}
	answer, err := n.config.Peers.State(ctx, owner, relay.JobRequest{Pool: shardName, Job: name})
	return answer.State, answer.Known, err
}

// owner returns the address of the instance that owns a pool, or the shard if this instance owns it.
func (n *Instance) owner(shardName string) (netip.AddrPort, *shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if o, ok := n.shards[shardName]; ok && o.shard != nil {
		return netip.AddrPort{}, o.shard, nil
	}
	address, ok := n.owners[shardName]
	if !ok {
		return netip.AddrPort{}, nil, errors.Errorf("no owner of pool %s is known", shardName)
	}
	if address == n.config.Settings.Peers {
		return address, nil, errors.Errorf("pool %s is being taken over here", shardName)
	}
	return address, nil, nil
}

// Cancel cancels a job.
func (n *Instance) Cancel(ctx context.Context, q catalog.Queue, name job.ID) error {
	var silent []string // pools whose owners did not reply
	for _, shardName := range n.poolsFrom(q.Pool) {
		known, err := n.cancelAtOwner(ctx, shardName, name)
		if err == nil && known {
			return nil
		}
		if err != nil {
			silent = append(silent, shardName)
		}
	}
	if len(silent) == 0 {
		return NoJobError{Job: name}
	}
	// The job may be in any of these pools. A cancel record for a job that does not exist has no effect.
	for _, shardName := range silent {
		if err := n.store(ctx, shard.IntakeTable(shardName), shard.CancelRecord(name), true); err != nil {
			return err
		}
	}
	return nil
}

// Pending returns how many jobs of a queue have not started.
func (n *Instance) Pending(ctx context.Context, q catalog.Queue) (int, error) {
	for {
		count, err := n.pending(ctx, q)
		if err == nil {
			return count, nil
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return 0, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
	}
}

// pending counts the jobs in the queue's pool and in the others that may have jobs of its route.
func (n *Instance) pending(ctx context.Context, q catalog.Queue) (int, error) {
	sum := 0
	for _, shardName := range append([]string{q.Pool}, n.otherPools(q.Route(), q.Pool)...) {
		count, err := n.pendingIn(ctx, shardName, q)
		if err != nil {
			return 0, err
		}
		sum += count
	}
	return sum, nil
}

func (n *Instance) pendingIn(ctx context.Context, shardName string, q catalog.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	owner, here, err := n.owner(shardName)
	if err != nil {
		return 0, err
	}
	if here != nil {
		return here.Pending(ctx, q.Route(), q.Name)
	}
	answer, err := n.config.Peers.Pending(ctx, owner, relay.PendingRequest{Pool: shardName, Route: q.Route(), Queue: q.Name})
	return answer.Count, err
}
