package instance

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Times of the feeds.
const (
	operatorWait = 900 * time.Millisecond // one waiting read of the operators' table
	workerGap    = 400 * time.Millisecond // between two reads of the workers' table
	idlePause    = 20 * time.Millisecond  // until it is asked again whether a table is needed
	feedPause    = 100 * time.Millisecond // after a read that failed
)

// feed follows one of the platform's tables.
type feed struct {
	instance *Instance
	table    stream.Table
	wait     time.Duration // a read waits this long for a record
	gap      time.Duration // pause after a read
	replace  func(all []stream.Record)
	take     func(r stream.Record)
	reached  func(next int64) // told how far the table is known; nil where nobody asks
	needed   func() bool      // nil for a table that is always followed
	next     int64
}

// loop reads the newest records and then follows the table; records that are gone make it start over.
func (f *feed) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.wanted() {
			sleep(ctx, idlePause)
			continue
		}
		err := f.load(ctx)
		for err == nil && f.wanted() {
			err = f.follow(ctx)
		}
		if err == nil {
			continue
		}
		var trimmed stream.TrimmedError
		if errors.As(err, &trimmed) {
			f.instance.config.Logger.Info("reading a table anew", zap.Stringer("table", f.table), zap.Int64("first", trimmed.First))
			continue
		}
		sleep(ctx, feedPause)
	}
	return errors.Trace(ctx.Err())
}

func (f *feed) wanted() bool { return f.needed == nil || f.needed() }

func (f *feed) load(ctx context.Context) error {
	var all []stream.Record
	next, err := claim.ReadAll(ctx, f.instance.config.Log, f.table, f.instance.config.Logger, func(r stream.Record) { all = append(all, r) })
	if err != nil {
		return err
	}
	f.next = next
	f.instance.hear()
	f.replace(all)
	f.tell()
	return nil
}

// follow reads on; a read that failed for a moment is tried again from the same offset.
func (f *feed) follow(ctx context.Context) error {
	batch, err := f.instance.detour.Read(ctx, f.table, f.next, f.wait)
	if err != nil {
		var trimmed stream.TrimmedError
		if errors.As(err, &trimmed) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, feedPause)
		return nil
	}
	f.instance.hear()
	for _, kept := range batch.Records {
		f.take(kept.Record)
	}
	f.next = batch.Next
	if len(batch.Records) > 0 {
		f.tell()
		f.instance.refreshShards()
	}
	sleep(ctx, f.gap)
	return nil
}

func (f *feed) tell() {
	if f.reached != nil {
		f.reached(f.next)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (n *Instance) replaceOperators(all []stream.Record) {
	out := id.Set[id.DataCentre]{}
	for _, r := range all {
		if e, ok := n.decodeOperator(r).(catalog.EvacuationChange); ok && e.Out {
			out.Add(e.DataCentre)
		}
	}
	n.mu.Lock()
	n.evacuated = out
	n.mu.Unlock()
	for _, r := range all {
		n.takeOperator(r)
	}
	n.refreshShards()
}

func (n *Instance) decodeOperator(r stream.Record) catalog.Change {
	change, err := n.config.Codec.Operator(r)
	if err != nil {
		n.config.Logger.Warn("set aside an operators' record", zap.String("key", r.Key), zap.Error(err))
		return nil
	}
	return change
}

func (n *Instance) takeOperator(r stream.Record) {
	switch change := n.decodeOperator(r).(type) {
	case catalog.ConfigChange:
		n.takeConfig(change.Config)
	case catalog.EvacuationChange:
		n.takeEvacuation(change)
	case catalog.WaveChange:
		n.takeWave(change)
	case catalog.WorkerChange, nil:
	}
}

// takeConfig puts a configuration into force unless a newer one is.
func (n *Instance) takeConfig(c *catalog.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog != nil && n.catalog.Version >= c.Version {
		return
	}
	if n.catalog != nil {
		n.noteMoves(n.catalog.Config, c)
	}
	n.catalog = &snapshot{c}
	n.config.Logger.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
}

func (n *Instance) takeEvacuation(e catalog.EvacuationChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Out == n.evacuated.Has(e.DataCentre) {
		return
	}
	if e.Out {
		n.evacuated.Add(e.DataCentre)
	} else {
		n.evacuated.Remove(e.DataCentre)
	}
	n.config.Logger.Info("data centre taken out or brought back", zap.String("dc", string(e.DataCentre)), zap.Bool("out", e.Out))
}

func (n *Instance) takeWave(w catalog.WaveChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.Removed {
		delete(n.waves, w.Wave.Number)
		return
	}
	if _, known := n.waves[w.Wave.Number]; known {
		return
	}
	n.waves[w.Wave.Number] = announced{wave: w.Wave, at: n.config.Clock.Moment().Steady}
	n.config.Logger.Info("maintenance wave announced", zap.Int("wave", w.Wave.Number), zap.Int("instances", len(w.Wave.Instances)),
		zap.Duration("within", w.Wave.Within), zap.Int("at_once", w.Wave.AtOnce))
}

func (n *Instance) replaceWorkers(all []stream.Record) {
	n.mu.Lock()
	n.workers = map[string]catalog.Worker{}
	n.mu.Unlock()
	for _, r := range all {
		n.takeWorker(r)
	}
	n.refreshShards()
}

func (n *Instance) takeWorker(r stream.Record) {
	change, err := n.config.Codec.Worker(r)
	if err != nil {
		n.config.Logger.Debug("set aside a worker's entry", zap.String("worker", r.Key), zap.Error(err))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if change.Worker == nil {
		delete(n.workers, r.Key)
		return
	}
	n.workers[r.Key] = *change.Worker
}
