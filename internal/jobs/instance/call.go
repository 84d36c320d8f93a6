package instance

import (
	"context"
	"net/netip"
	"slices"
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

// Times of callers' calls.
const (
	tryPause   = 60 * time.Millisecond // between two tries of one call
	askTimeout = 800 * time.Millisecond
	retryAfter = time.Second
)

// Admit returns the queue that a call goes to and the team that its key belongs to.
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
	team := c.ByKey(key)
	if team != nil {
		return *q, team.Name, nil
	}
	if !q.Public {
		return *q, "", KeyError{}
	}
	return *q, "", nil
}

// MaxBodyBytes returns how long a body may be.
func (n *Instance) MaxBodyBytes() int64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.catalog == nil || n.catalog.MaxBodyBytes <= 0 {
		return defaultBodyBytes
	}
	return n.catalog.MaxBodyBytes
}

const defaultBodyBytes = 256 << 10

// Submit stores a job; it was accepted when no error is returned, and will not run unless the error is
// an UnknownError.
func (n *Instance) Submit(ctx context.Context, q catalog.Queue, spec job.Spec) error {
	spec.Queue, spec.Pool = q.Name, q.Pool
	spec.Policy = job.Policy{Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target, Advised: q.Advised}
	spec.Accepted = n.config.Clock.Moment().Wall
	if err := spec.Check(); err != nil {
		return err
	}
	if known, err := n.inFormerPool(ctx, q, spec.ID); err != nil || known {
		return err
	}
	err := n.submitToOwner(ctx, spec)
	var full FullError
	if err == nil || errors.As(err, &full) {
		return err
	}
	var none shard.NotTakenError
	maybe := !errors.As(err, &none)
	if !maybe && n.storeSilent() {
		return NotReadyError{Reason: "the store does not answer", Retry: retryAfter}
	}
	record, err := shard.SpecRecord(&spec)
	if err != nil {
		return err
	}
	return n.store(ctx, shard.IntakeTable(q.Pool), record, maybe)
}

// storePatience is how long the store may be silent here before a job that no owner has taken is refused at once.
const storePatience = 1500 * time.Millisecond

func (n *Instance) storeSilent() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.config.Clock.Moment().Steady-n.heard > storePatience
}

// ownerTimeout bounds the time in which an owner stores what it is handed.
const ownerTimeout = 1200 * time.Millisecond

// submitToOwner hands a job to the owner of its pool. A FullError or a shard.NotTakenError says that the owner
// has not taken it; after any other error it may be stored nonetheless, once however often it is handed in.
func (n *Instance) submitToOwner(ctx context.Context, spec job.Spec) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(spec.Pool)
	if err != nil {
		return shard.NotTakenError{Reason: err.Error()}
	}
	if here != nil {
		err := here.Submit(ctx, spec)
		var full pool.FullError
		if errors.As(err, &full) {
			return FullError{Retry: full.Wait}
		}
		return err
	}
	taken, err := n.config.Peers.Submit(ctx, owner, spec)
	switch {
	case peer.Unreached(err):
		return shard.NotTakenError{Reason: err.Error()}
	case err == nil && taken.Full:
		return FullError{Retry: taken.Wait}
	case err == nil && taken.None:
		return shard.NotTakenError{Reason: "the owner can store nothing"}
	}
	return err
}

// cancelAtOwner has the owner of a pool end a job and reports whether it holds the job.
func (n *Instance) cancelAtOwner(ctx context.Context, unit string, name job.ID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owner, here, err := n.owner(unit)
	if err != nil {
		return false, err
	}
	if here != nil {
		return here.Cancel(ctx, name)
	}
	answer, err := n.config.Peers.Cancel(ctx, owner, relay.Question{Pool: unit, Job: name})
	return answer.Known, err
}

// inFormerPool reports whether a job came in while its queue belonged to another pool.
func (n *Instance) inFormerPool(ctx context.Context, q catalog.Queue, name job.ID) (bool, error) {
	n.mu.RLock()
	former, told := slices.Clone(n.former[q.Name]), n.ownersKnown
	n.mu.RUnlock()
	if !told {
		return false, NotReadyError{Reason: "the table of owners is not read yet", Retry: retryAfter}
	}
	for _, unit := range former {
		if unit == q.Pool {
			continue
		}
		_, known, err := n.ask(ctx, unit, name)
		if err != nil {
			return false, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
		if known {
			return true, nil
		}
	}
	return false, nil
}

// store appends a record that nothing fences, directly or by another instance; unsure tells that it may
// have been taken elsewhere already.
func (n *Instance) store(ctx context.Context, t stream.Table, r stream.Record, unsure bool) error {
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		_, err := n.config.Log.Append(ctx, t, []stream.Record{r}, nil)
		if err == nil {
			n.hear()
			return nil
		}
		last = err
		var none stream.NotDoneError
		unsure = unsure || !errors.As(err, &none)
		if done, maybe := n.storeElsewhere(ctx, try, t, r); done {
			return nil
		} else if maybe {
			unsure = true
		}
		sleep(ctx, tryPause)
	}
	if unsure {
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

// storeElsewhere has another instance append a record; maybe tells that it may yet be stored.
func (n *Instance) storeElsewhere(ctx context.Context, try int, t stream.Table, r stream.Record) (done, maybe bool) {
	others := n.others()
	if len(others) == 0 {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stored, err := n.config.Peers.Store(ctx, others[try%len(others)], relay.Store{Table: t, Records: []stream.Record{r}})
	if err != nil {
		return false, true
	}
	return stored.Done, stored.Unsure
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

// State returns how far a job is.
func (n *Instance) State(ctx context.Context, q catalog.Queue, name job.ID) (job.State, error) {
	state, _, err := n.locate(ctx, q, name)
	return state, err
}

// locate finds a job in the pool of its queue, or in another that has it from an earlier configuration.
func (n *Instance) locate(ctx context.Context, q catalog.Queue, name job.ID) (job.State, string, error) {
	for _, unit := range n.poolsFrom(q.Pool) {
		state, known, err := n.askUntil(ctx, unit, name)
		if err != nil {
			return 0, unit, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
		if known {
			return state, unit, nil
		}
	}
	return 0, "", NoJobError{Job: name}
}

// poolsFrom returns all pools that run work, a given one first.
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

// askUntil asks the owner of a pool for a job until it answers or the time is over.
func (n *Instance) askUntil(ctx context.Context, unit string, name job.ID) (job.State, bool, error) {
	for {
		state, known, err := n.ask(ctx, unit, name)
		if err == nil {
			return state, known, nil
		}
		sleep(ctx, tryPause)
		if ctx.Err() != nil {
			return 0, false, err
		}
	}
}

func (n *Instance) ask(ctx context.Context, unit string, name job.ID) (job.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	owner, here, err := n.owner(unit)
	if err != nil {
		return 0, false, err
	}
	if here != nil {
		return here.State(ctx, name)
	}
	answer, err := n.config.Peers.State(ctx, owner, relay.Question{Pool: unit, Job: name})
	return answer.State, answer.Known, err
}

// owner returns the instance that owns a pool, or the pool itself when it is run here.
func (n *Instance) owner(unit string) (netip.AddrPort, *shard.Shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if o, ok := n.shards[unit]; ok && o.shard != nil {
		return netip.AddrPort{}, o.shard, nil
	}
	address, ok := n.owners[unit]
	if !ok {
		return netip.AddrPort{}, nil, errors.Errorf("no owner of pool %s is known", unit)
	}
	if address == n.config.Settings.Peers {
		return address, nil, errors.Errorf("pool %s is being taken over here", unit)
	}
	return address, nil, nil
}

// Cancel ends a job.
func (n *Instance) Cancel(ctx context.Context, q catalog.Queue, name job.ID) error {
	unsure := false
	for _, unit := range n.poolsFrom(q.Pool) {
		known, err := n.cancelAtOwner(ctx, unit, name)
		if err == nil && known {
			return nil
		}
		unsure = unsure || err != nil
	}
	if !unsure {
		return NoJobError{Job: name}
	}
	// An owner cannot be asked; a wish for a job that is not there does no harm.
	return n.store(ctx, shard.IntakeTable(q.Pool), shard.CancelRecord(name), true)
}

// Pending returns how many jobs of a queue have not begun.
func (n *Instance) Pending(ctx context.Context, q catalog.Queue) (int, error) {
	for {
		count, err := n.pending(ctx, q)
		if err == nil {
			return count, nil
		}
		sleep(ctx, tryPause)
		if ctx.Err() != nil {
			return 0, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
	}
}

func (n *Instance) pending(ctx context.Context, q catalog.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	owner, here, err := n.owner(q.Pool)
	if err != nil {
		return 0, err
	}
	if here != nil {
		counts, err := here.Pending(ctx)
		return counts[q.Name], err
	}
	answer, err := n.config.Peers.Pending(ctx, owner, relay.Pool{Pool: q.Pool})
	return answer.Queues[q.Name], err
}
