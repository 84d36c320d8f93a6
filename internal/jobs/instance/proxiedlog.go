package instance

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/owners"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Timeouts and delays of proxied calls.
const (
	directTimeout     = 500 * time.Millisecond // for a direct append or fence before the call is also sent through a peer
	directReadTimeout = time.Second            // for a direct read, in addition to its own wait: reads are slow when all instances read large records
	proxyBackoff      = 100 * time.Millisecond // after a failed proxied call, before the next peer is tried
	unreachablePeriod = time.Second            // after a successful proxied call: calls go direct and through a peer at once
)

// proxiedLog is the log client of the shards that this instance owns. It calls the store directly, and through a peer
// while the store does not answer this instance. Only idempotent calls are proxied: reads, fences and numbered appends.
type proxiedLog struct {
	stream.Log // direct
	instance   *Instance

	mu               sync.Mutex // guards everything below
	unreachableUntil time.Duration
	backoffUntil     time.Duration
	peerIndex        int // index of the peer to try next, modulo the number of peers
}

// attempt is one call to the store, direct or proxied. All attempts of a call send their results to the same channel.
type attempt[T any] struct {
	call    func(ctx context.Context) (T, error)
	results chan<- result[T]
	proxied bool
}

type result[T any] struct {
	value   T
	err     error
	proxied bool
}

// preferDirect returns the failure to report: b, unless a is a failure and b came through a peer.
func (a result[T]) preferDirect(b result[T]) result[T] {
	if a.err == nil || !b.proxied {
		return b
	}
	return a
}

func (w *attempt[T]) run(ctx context.Context) {
	value, err := w.call(ctx)
	w.results <- result[T]{value: value, err: err, proxied: w.proxied}
}

// callStore calls the store directly and, after the timeout or a failure, through peers. It returns the first reply of
// the store, or the error of the direct call if no attempt succeeds.
func callStore[T any](ctx context.Context, d *proxiedLog, timeout time.Duration, direct func(context.Context) (T, error),
	proxied func(context.Context, netip.AddrPort) (T, error),
) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	go (&attempt[T]{call: direct, results: results}).run(ctx)
	timer := time.NewTimer(timeout)
	if d.isUnreachable() {
		timer.Reset(0)
	}
	defer timer.Stop()
	pending, proxying := 1, false // attempts in flight, and whether one of them is proxied
	startProxied := func() {
		to, ok := d.nextPeer()
		if proxying || !ok {
			return
		}
		pending, proxying = pending+1, true
		viaPeer := func(ctx context.Context) (T, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout+peerTimeout)
			defer cancel()
			return proxied(ctx, to)
		}
		go (&attempt[T]{call: viaPeer, results: results, proxied: true}).run(ctx)
	}
	var failure result[T]
	for pending > 0 {
		select {
		case a := <-results:
			pending--
			d.recordOutcome(a.proxied, a.err)
			if a.err == nil || isStoreReply(a.err) {
				return a.value, a.err
			}
			failure = failure.preferDirect(a)
			switch {
			case a.proxied:
				proxying = false
				timer.Reset(proxyBackoff) // the next peer may reach the store
			case ctx.Err() == nil:
				startProxied()
			}
		case <-timer.C:
			if startProxied(); !proxying {
				timer.Reset(proxyBackoff)
			}
		}
	}
	return failure.value, failure.err
}

// isStoreReply reports whether an error is a reply of the store, which would be the same through any peer.
func isStoreReply(err error) bool {
	var fenced stream.FencedError
	var sequence stream.SequenceError
	var trimmed stream.TrimmedError
	return errors.As(err, &fenced) || errors.As(err, &sequence) || errors.As(err, &trimmed)
}

func (d *proxiedLog) now() time.Duration { return d.instance.config.Clock.Moment().Steady }

// isUnreachable reports whether the store recently replied through a peer and has not replied directly since.
func (d *proxiedLog) isUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() < d.unreachableUntil
}

// nextPeer returns the peer to try, or false if there is none or during the backoff after a failed proxied call.
func (d *proxiedLog) nextPeer() (netip.AddrPort, bool) {
	peers := d.peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(peers) == 0 || d.now() < d.backoffUntil {
		return netip.AddrPort{}, false
	}
	return peers[d.peerIndex%len(peers)].Address, true
}

// peers returns the other instances in descending order of CPU limit. Instances with equal limits are ordered by a hash
// that differs between callers, so that many instances that the store refuses do not all use the same peer.
func (d *proxiedLog) peers() []owners.Member {
	self := d.instance.self().Address
	d.instance.mu.RLock()
	list := slices.Clone(d.instance.alive)
	d.instance.mu.RUnlock()
	list = slices.DeleteFunc(list, func(m owners.Member) bool { return m.Address == self })
	rank := func(m owners.Member) uint64 { return xxhash.Sum64String(self.String() + "@" + m.Address.String()) }
	slices.SortFunc(list, func(a, b owners.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(rank(a), rank(b)))
	})
	return list
}

// recordOutcome updates whether the store is reachable directly and through the current peer.
func (d *proxiedLog) recordOutcome(proxied bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	works := err == nil || isStoreReply(err)
	switch {
	case proxied && !works:
		d.peerIndex++
		d.backoffUntil = d.now() + proxyBackoff
	case proxied:
		if d.now() >= d.unreachableUntil {
			d.instance.config.Logger.Info("store reached through another instance")
		}
		d.unreachableUntil = d.now() + unreachablePeriod
	case works:
		d.unreachableUntil = 0
	}
}

// Append adds records. Only numbered records are proxied, since the store gives a repeated append the reply of the
// first.
func (d *proxiedLog) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if w == nil {
		return d.Log.Append(ctx, t, records, nil)
	}
	// The caller numbers its next append with the same writer, while an attempt of this one may still be on its way.
	writer := *w
	return callStore(ctx, d, directTimeout, func(ctx context.Context) (int64, error) {
		return d.Log.Append(ctx, t, records, &writer)
	}, func(ctx context.Context, to netip.AddrPort) (int64, error) {
		return d.instance.config.Peers.Append(ctx, to, relay.AppendRequest{Table: t, Records: records, Writer: writer})
	})
}

// Fence makes the store refuse appends of writers below an epoch.
func (d *proxiedLog) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	_, err := callStore(ctx, d, directTimeout, func(ctx context.Context) (int64, error) {
		return 0, d.Log.Fence(ctx, t, epoch)
	}, func(ctx context.Context, to netip.AddrPort) (int64, error) {
		return d.instance.config.Peers.Append(ctx, to, relay.AppendRequest{Table: t, Writer: stream.Writer{Epoch: epoch}})
	})
	return err
}

// Read returns the records of a table from an offset on.
func (d *proxiedLog) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	return callStore(ctx, d, wait+directReadTimeout, func(ctx context.Context) (stream.Batch, error) {
		return d.Log.Read(ctx, t, from, wait)
	}, func(ctx context.Context, to netip.AddrPort) (stream.Batch, error) {
		return d.instance.config.Peers.Read(ctx, to, relay.ReadRequest{Table: t, From: from, Wait: wait})
	})
}
