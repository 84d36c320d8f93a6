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

// Times of a detour.
const (
	detourPatience = 500 * time.Millisecond // for the store to take an append or to prove a claim
	readPatience   = time.Second            // for it to answer a read, beside the time that the read waits: when all read much, that is slow
	detourRest     = 100 * time.Millisecond // after a detour that led nowhere, until the next instance is asked
	deafLife       = time.Second            // after a detour that led there, during which both ways are tried at once
)

// detour is the store as the owners of an instance reach it: straight, and by way of another instance while the
// store does not answer this one. Only calls that may come twice take it: reads, proofs and numbered appends.
type detour struct {
	stream.Log // straight
	instance   *Instance

	mu        sync.Mutex // guards everything below
	deafTill  time.Duration
	restsTill time.Duration
	by        int // number of the instance that is asked next
}

// way is one way to the store; its answer goes to a channel that holds the answers of all ways.
type way[T any] struct {
	call    func(ctx context.Context) (T, error)
	answers chan<- answer[T]
	around  bool
}

type answer[T any] struct {
	value  T
	err    error
	around bool
}

// or returns the failure to report of two, which is the straight way's.
func (a answer[T]) or(b answer[T]) answer[T] {
	if a.err == nil || !b.around {
		return b
	}
	return a
}

func (w *way[T]) run(ctx context.Context) {
	value, err := w.call(ctx)
	w.answers <- answer[T]{value: value, err: err, around: w.around}
}

// reach returns the first answer of the store that either way brings, or the straight way's error.
func reach[T any](ctx context.Context, d *detour, patience time.Duration, straight func(context.Context) (T, error),
	around func(context.Context, netip.AddrPort) (T, error),
) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer[T], 2)
	go (&way[T]{call: straight, answers: answers}).run(ctx)
	patient := time.NewTimer(patience)
	if d.deaf() {
		patient.Reset(0)
	}
	defer patient.Stop()
	left, aside := 1, false // ways that have not answered, and whether a detour is one of them
	turn := func() {
		to, ok := d.next()
		if aside || !ok {
			return
		}
		left, aside = left+1, true
		detoured := func(ctx context.Context) (T, error) {
			ctx, cancel := context.WithTimeout(ctx, patience+askTimeout)
			defer cancel()
			return around(ctx, to)
		}
		go (&way[T]{call: detoured, answers: answers, around: true}).run(ctx)
	}
	var failed answer[T]
	for left > 0 {
		select {
		case a := <-answers:
			left--
			d.note(a.around, a.err)
			if a.err == nil || decided(a.err) {
				return a.value, a.err
			}
			failed = failed.or(a)
			switch {
			case a.around:
				aside = false
				patient.Reset(detourRest) // the next instance may be better off
			case ctx.Err() == nil:
				turn()
			}
		case <-patient.C:
			if turn(); !aside {
				patient.Reset(detourRest)
			}
		}
	}
	return failed.value, failed.err
}

// decided reports whether an error is an answer of the store, which another way would bring as well.
func decided(err error) bool {
	var fenced stream.FencedError
	var sequence stream.SequenceError
	var trimmed stream.TrimmedError
	return errors.As(err, &fenced) || errors.As(err, &sequence) || errors.As(err, &trimmed)
}

func (d *detour) now() time.Duration { return d.instance.config.Clock.Moment().Steady }

// deaf reports whether the store has lately not answered here.
func (d *detour) deaf() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now() < d.deafTill
}

// next returns the instance to ask, unless detours have lately led nowhere.
func (d *detour) next() (netip.AddrPort, bool) {
	helpers := d.helpers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(helpers) == 0 || d.now() < d.restsTill {
		return netip.AddrPort{}, false
	}
	return helpers[d.by%len(helpers)].Address, true
}

// helpers returns the other instances: those first that may use the most of a processor, and else in an order of this
// instance's own, so that many that the store turns away do not meet on one.
func (d *detour) helpers() []owners.Member {
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

// note learns from the outcome of a call which ways lead to the store.
func (d *detour) note(around bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	works := err == nil || decided(err)
	switch {
	case around && !works:
		d.by++
		d.restsTill = d.now() + detourRest
	case around:
		if d.now() >= d.deafTill {
			d.instance.config.Logger.Info("the store answers by way of another instance")
		}
		d.deafTill = d.now() + deafLife
	case works:
		d.deafTill = 0
	}
}

// Append adds records; numbered ones may take either way, since the store answers a repeat as it did the first.
func (d *detour) Append(ctx context.Context, t stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	straight := func(ctx context.Context) (int64, error) { return d.Log.Append(ctx, t, records, w) }
	if w == nil {
		return straight(ctx)
	}
	return reach(ctx, d, detourPatience, straight, func(ctx context.Context, to netip.AddrPort) (int64, error) {
		return d.instance.config.Peers.Append(ctx, to, relay.Append{Table: t, Records: records, Writer: *w})
	})
}

// Fence refuses the appends of writers below an epoch.
func (d *detour) Fence(ctx context.Context, t stream.Table, epoch int64) error {
	_, err := reach(ctx, d, detourPatience, func(ctx context.Context) (int64, error) {
		return 0, d.Log.Fence(ctx, t, epoch)
	}, func(ctx context.Context, to netip.AddrPort) (int64, error) {
		return d.instance.config.Peers.Append(ctx, to, relay.Append{Table: t, Writer: stream.Writer{Epoch: epoch}})
	})
	return err
}

// Read returns the records of a table from an offset on.
func (d *detour) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	return reach(ctx, d, wait+readPatience, func(ctx context.Context) (stream.Batch, error) {
		return d.Log.Read(ctx, t, from, wait)
	}, func(ctx context.Context, to netip.AddrPort) (stream.Batch, error) {
		return d.instance.config.Peers.Read(ctx, to, relay.Read{Table: t, From: from, Wait: wait})
	})
}
