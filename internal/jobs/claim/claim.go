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

// retryPause is the time after a call that the store did not take.
const retryPause = 50 * time.Millisecond

// FreshProof is how old the newest proof of an owner may be for others to leave what it owns alone.
const FreshProof = 2 * time.Second

// Clock reads both clocks.
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

// Take claims the table; it fails with a stream.FencedError when another instance claims it meanwhile.
// The returned time is when the newest proof of the ownership was asked for.
func Take(ctx context.Context, c Config) (*Claim, time.Duration, error) {
	offset, err := draw(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	claimed := &Claim{config: c, epoch: offset + 1}
	for {
		sent := c.Clock.Moment().Steady
		err := claimed.Prove(ctx)
		if err == nil {
			c.Logger.Info("claimed a table", zap.Stringer("table", c.Table), zap.Int64("fence", claimed.epoch))
			return claimed, sent, nil
		}
		var fenced stream.FencedError
		if errors.As(err, &fenced) {
			return nil, 0, err
		}
		if err := Pause(ctx, c.Logger, err); err != nil {
			return nil, 0, err
		}
	}
}

// draw appends a claim record until the log has it and returns its offset.
func draw(ctx context.Context, c Config) (int64, error) {
	record := stream.Record{Key: Key, Value: []byte(c.Holder)}
	for {
		offset, err := c.Log.Append(ctx, c.Table, []stream.Record{record}, nil)
		if err == nil {
			return offset, nil
		}
		if err := Pause(ctx, c.Logger, err); err != nil {
			return 0, err
		}
	}
}

// Epoch returns the number of the claim.
func (c *Claim) Epoch() int64 { return c.epoch }

// Prove asks the log whether this claim is still the newest; a stream.FencedError says that it is not.
func (c *Claim) Prove(ctx context.Context) error {
	return c.config.Log.Fence(ctx, c.config.Table, c.epoch)
}

// Pause waits a moment after a call that the store did not take; it fails when the context has ended.
func Pause(ctx context.Context, logger *zap.Logger, cause error) error {
	logger.Debug("the store did not take a call", zap.Error(cause))
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(retryPause):
		return nil
	}
}

// ReadAll reads the newest record of every key of a table and returns the offset from which to read on.
func ReadAll(ctx context.Context, log stream.Log, t stream.Table, logger *zap.Logger, take func(stream.Record)) (int64, error) {
	after, next := "", int64(-1)
	for {
		page, err := log.Newest(ctx, t, after)
		if err != nil {
			if err := Pause(ctx, logger, err); err != nil {
				return 0, err
			}
			continue
		}
		if next < 0 {
			next = page.End
		}
		for _, item := range page.Items {
			take(item.Record)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return next, nil
		}
	}
}
