package instance

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/shard"
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

// State returns the state of a job.
func (n *Instance) State(ctx context.Context, q catalog.Queue, name job.ID) (job.State, error) {
	if !name.IsValid() {
		return 0, NoJobError{Job: name}
	}
	return n.locate(ctx, q, name)
}

// locate finds a job in the pool of its queue, or in another pool that the queue had in an earlier configuration. After a
// NoJobError none of the pools has it that are recorded by now, whatever this instance knew before.
func (n *Instance) locate(ctx context.Context, q catalog.Queue, name job.ID) (job.State, error) {
	// A job goes from one holder of its route to another once at most. One that does so between two questions is found when the
	// holders are asked again.
	pools := n.poolsFrom(q.Pool)
	if others := n.otherPools(q.Route(), q.Pool); len(others) > 0 {
		pools = append(append(pools, q.Pool), others...)
	}
	var asked []string
	for len(pools) > 0 {
		for _, shardName := range pools {
			state, known, err := n.queryStateWithRetry(ctx, shardName, name)
			if err != nil {
				return 0, NotReadyError{Reason: err.Error(), Retry: retryAfter}
			}
			if known {
				return state, nil
			}
		}
		if err := n.readHolders(ctx); err != nil {
			return 0, err
		}
		asked = append(asked, pools...)
		pools = n.otherPools(q.Route(), asked...)
	}
	return 0, NoJobError{Job: name}
}

// poolsFrom returns all pools that have owners, the given one first.
func (n *Instance) poolsFrom(first string) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	pools := []string{first}
	for _, p := range n.poolsLocked() {
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
