package instance

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// A job stays in the pool that accepted it, and every instance has to know which pools may have accepted jobs of a route.
// So a pool is recorded as a holder of the route before it accepts the first job, with the version of the configuration
// that sends the route there. The holders are in the table of owners because all instances follow it.
//
// Only the newest holder accepts jobs. Its version goes with each job; before that, the owners of all other holders are
// asked for the job and accept none under a lower version any more.

// holderPrefix starts the keys of records that name a holder of a route.
const holderPrefix = "held/"

// routePollInterval is the time between two checks whether what is known of a route has changed.
const routePollInterval = 5 * time.Millisecond

// holder is a pool that may have accepted jobs of a route.
type holder struct {
	route   catalog.Route
	pool    string
	version int64 // newest version that sent the route to the pool
}

func (h holder) key() string { return holderPrefix + string(h.route) + "/" + h.pool }

func (h holder) record() stream.Record {
	return stream.Record{Key: h.key(), Value: []byte(strconv.FormatInt(h.version, 10))}
}

// applyHolder applies a record of a holder and reports whether it is one.
func (n *Instance) applyHolder(r stream.Record) bool {
	name, ok := strings.CutPrefix(r.Key, holderPrefix)
	if !ok {
		return false
	}
	route, pool, _ := strings.Cut(name, "/")
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		n.config.Logger.Error("cannot decode the holder of a route", zap.String("key", r.Key), zap.Error(err))
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addHolder(holder{route: catalog.Route(route), pool: pool, version: version})
	return true
}

// addHolder adds a holder, or raises the version of a known one. The caller holds the lock.
func (n *Instance) addHolder(h holder) {
	known := n.holders[h.route]
	i := slices.IndexFunc(known, func(k holder) bool { return k.pool == h.pool })
	if i < 0 {
		n.holders[h.route] = append(known, h)
		return
	}
	known[i].version = max(known[i].version, h.version)
}

// newestHolder returns the holder of a route with the highest version, or the zero value without any.
func (n *Instance) newestHolder(route catalog.Route) holder {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var newest holder
	for _, h := range n.holders[route] {
		if newest.pool == "" || h.version > newest.version {
			newest = h
		}
	}
	return newest
}

// otherPools returns the pools besides the given ones that may have jobs of a route.
func (n *Instance) otherPools(route catalog.Route, except ...string) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var others []string
	for _, h := range n.holders[route] {
		if !slices.Contains(except, h.pool) {
			others = append(others, h.pool)
		}
	}
	return others
}

// holderOf returns the newest holder of a queue's route, which is the queue's pool, and records it first where needed. It
// returns a movedError if the queue's configuration is older than the newest holder.
func (n *Instance) holderOf(ctx context.Context, q catalog.Queue) (holder, error) {
	n.mu.RLock()
	ownersKnown := n.ownersKnown
	n.mu.RUnlock()
	if !ownersKnown {
		return holder{}, NotReadyError{Reason: "the table of owners is not read yet", Retry: retryAfter}
	}
	own := holder{route: q.Route(), pool: q.Pool, version: q.Version}
	for {
		newest := n.newestHolder(own.route)
		switch {
		case newest.pool == own.pool:
			return newest, nil
		case newest.pool != "" && newest.version >= own.version:
			return newest, movedError{Queue: q.Name}
		}
		if err := n.recordHolder(ctx, own); err != nil {
			return newest, err
		}
	}
}

// recordHolder records a holder and waits until this instance has read that record, and so all earlier ones.
func (n *Instance) recordHolder(ctx context.Context, h holder) error {
	r := h.record()
	written := n.holderWrites.DoChan(r.Key+" "+string(r.Value), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerTimeout)
		defer cancel()
		n.config.Logger.Info("recording the pool of a route", zap.String("route", string(h.route)), zap.String("pool", h.pool), zap.Int64("version", h.version))
		if _, err := n.store(ctx, ownerTable(), r, false); err != nil {
			return nil, err
		}
		for ctx.Err() == nil && !n.hasHolder(h) {
			sleep(ctx, routePollInterval)
		}
		return nil, ctx.Err()
	})
	select {
	case result := <-written:
		if result.Err != nil {
			return NotReadyError{Reason: "recording the pool of a route: " + result.Err.Error(), Retry: retryAfter}
		}
		return nil
	case <-ctx.Done():
		return NotReadyError{Reason: ctx.Err().Error(), Retry: retryAfter}
	}
}

func (n *Instance) hasHolder(h holder) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return slices.ContainsFunc(n.holders[h.route], func(k holder) bool { return k.pool == h.pool && k.version >= h.version })
}

// readHolders reads the table of owners to its end, so that all holders that are recorded by now are known.
func (n *Instance) readHolders(ctx context.Context) error {
	n.mu.RLock()
	from := n.ownersEnd
	n.mu.RUnlock()
	for {
		batch, err := n.proxiedLog.Read(ctx, ownerTable(), from, 0)
		if err != nil {
			return NotReadyError{Reason: "reading the pools of a route: " + err.Error(), Retry: retryAfter}
		}
		for _, stored := range batch.Records {
			n.applyHolder(stored.Record)
		}
		if batch.Next == from {
			return nil
		}
		from = batch.Next
	}
}

// findIn tells what the given pools know of a job: whether it is Present in one, else whether one forwards it. Those where it is
// not accept it no more under a version below the holder's. Where one keeps a cancellation of the job, the holder's pool does so,
// too, after that.
func (n *Instance) findIn(ctx context.Context, pools []string, h holder, name job.ID) (job.Presence, error) {
	forwarded, cancelled := false, false
	for _, pool := range pools {
		presence, err := n.seal(ctx, relay.SealRequest{Pool: pool, Job: name, Route: h.route, Version: h.version})
		if err != nil {
			return job.Absent, NotReadyError{Reason: err.Error(), Retry: retryAfter}
		}
		switch presence {
		case job.Present:
			return job.Present, nil
		case job.Forwarded:
			forwarded = true
		case job.Tombstone:
			cancelled = true
		case job.Absent:
		}
	}
	if cancelled {
		if _, err := n.cancelAtOwner(ctx, h.pool, name); err != nil {
			return job.Absent, NotReadyError{Reason: "passing on a cancellation: " + err.Error(), Retry: retryAfter}
		}
	}
	if forwarded {
		return job.Forwarded, nil
	}
	return job.Absent, nil
}

// seal asks the owner of a pool whether it has a job, and to accept no other job of the route under a lower version.
func (n *Instance) seal(ctx context.Context, r relay.SealRequest) (job.Presence, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	owner, here, err := n.owner(r.Pool)
	if err != nil {
		return job.Absent, err
	}
	if here != nil {
		return here.Seal(ctx, r.Route, r.Version, r.Job)
	}
	answer, err := n.config.Peers.Seal(ctx, owner, r)
	return answer.Answer(), err
}

// awaitMove waits for a configuration that is newer than a queue, or for another newest holder of its route, and returns the
// queue at the same address.
func (n *Instance) awaitMove(ctx context.Context, q catalog.Queue) (catalog.Queue, error) {
	seen := n.newestHolder(q.Route())
	for {
		n.mu.RLock()
		c := n.catalog
		n.mu.RUnlock()
		if c.Version > q.Version {
			newer := c.Queue(q.Host, q.Prefix)
			if newer == nil {
				return q, NoQueueError{Host: q.Host, Path: q.Prefix}
			}
			found := *newer
			found.Version = c.Version
			return found, nil
		}
		if newest := n.newestHolder(q.Route()); newest != seen && newest.version < q.Version {
			return q, nil
		}
		if ctx.Err() != nil {
			return q, NotReadyError{Reason: "the configuration is older than that of other instances", Retry: retryAfter}
		}
		sleep(ctx, routePollInterval)
	}
}

// forward submits a job that its pool must not accept to the newest holder of its route, and returns once that pool has it.
func (n *Instance) forward(ctx context.Context, spec job.Spec) error {
	from := spec.Pool
	for ctx.Err() == nil {
		newest := n.newestHolder(spec.Route)
		spec.Pool, spec.Version = newest.pool, newest.version
		presence, err := n.findIn(ctx, n.otherPools(spec.Route, from, newest.pool), newest, spec.ID)
		// Another pool that forwards the job may rely on this one.
		if err == nil && presence != job.Present && newest.pool != "" {
			err = n.submitToOwner(ctx, spec)
		}
		if err == nil && newest.pool != "" {
			return nil
		}
		sleep(ctx, retryDelay)
	}
	return ctx.Err()
}
