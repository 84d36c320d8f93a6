package claim

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Key is the key of claim records.
const Key = "owner"

// retryBackoff is the wait before a failed store call is retried.
const retryBackoff = 50 * time.Millisecond

// MaxProofAge is the maximum age of an owner's newest proof of ownership at which other instances do not claim its
// shards.
const MaxProofAge = 2 * time.Second

// Clock reads the steady clock and the wall clock.
type Clock interface{ Moment() pool.Moment }

// Config holds what a Claim needs.
type Config struct {
	Log    stream.Log
	Table  stream.Table
	Holder string
	Clock  Clock
	Logger *zap.Logger
}

// Claim is the ownership of one table.
type Claim struct {
	config Config
	epoch  int64
}

// Acquire claims the table. It fails with a stream.FencedError when another instance claims the table in the meantime.
// The returned steady time is when the proof of ownership that succeeded was requested.
func Acquire(ctx context.Context, c Config) (*Claim, time.Duration, error) {
	offset, err := appendClaim(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	claimed := &Claim{config: c, epoch: offset + 1}
	for {
		proofSent := c.Clock.Moment().Steady
		err := claimed.Prove(ctx)
		if err == nil {
			c.Logger.Info("claimed a table", zap.Stringer("table", c.Table), zap.Int64("fence", claimed.epoch))
			return claimed, proofSent, nil
		}
		var fenced stream.FencedError
		if errors.As(err, &fenced) {
			return nil, 0, err
		}
		if err := Backoff(ctx, c.Logger, err); err != nil {
			return nil, 0, err
		}
	}
}

// appendClaim appends a claim record, retrying until the log accepts it, and returns its offset.
func appendClaim(ctx context.Context, c Config) (int64, error) {
	record := stream.Record{Key: Key, Value: []byte(c.Holder)}
	for {
		offset, err := c.Log.Append(ctx, c.Table, []stream.Record{record}, nil)
		if err == nil {
			return offset, nil
		}
		if err := Backoff(ctx, c.Logger, err); err != nil {
			return 0, err
		}
	}
}

// Epoch returns the fencing epoch of the claim.
func (c *Claim) Epoch() int64 { return c.epoch }

// Prove asks the log whether this claim is still the newest, and fails with a stream.FencedError when it is not.
func (c *Claim) Prove(ctx context.Context) error {
	return c.config.Log.Fence(ctx, c.config.Table, c.epoch)
}

// Backoff waits for retryBackoff after a failed store call. It fails when the context ends first.
func Backoff(ctx context.Context, logger *zap.Logger, cause error) error {
	logger.Debug("store call failed; retrying after a backoff", zap.Error(cause))
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(retryBackoff):
		return nil
	}
}

// KeyRange is a range of the keys of a table: those after After and, unless Last is empty, up to Last.
type KeyRange struct{ After, Last string }

// ReadAll passes the newest record of every key of a table to handle and returns the offset from which to continue
// reading.
func ReadAll(ctx context.Context, log stream.Log, t stream.Table, logger *zap.Logger, handle func(stream.Record)) (int64, error) {
	return ReadKeys(ctx, log, t, KeyRange{}, logger, handle)
}

// ReadKeys does what ReadAll does for a range of keys.
func ReadKeys(ctx context.Context, log stream.Log, t stream.Table, keys KeyRange, logger *zap.Logger, handle func(stream.Record)) (int64, error) {
	after, next := keys.After, int64(-1)
	for {
		page, err := log.Newest(ctx, t, after)
		if err != nil {
			if err := Backoff(ctx, logger, err); err != nil {
				return 0, err
			}
			continue
		}
		if next < 0 {
			next = page.End
		}
		for _, item := range page.Items {
			if keys.Last != "" && item.Key > keys.Last {
				return next, nil
			}
			handle(item.Record)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return next, nil
		}
	}
}
