package instance

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Intervals of the feeds.
const (
	operatorWait = 900 * time.Millisecond // long-poll wait of a read of the operators' table
	workerGap    = 400 * time.Millisecond // between two reads of the workers' table
	idlePause    = 20 * time.Millisecond  // between two checks whether a table is needed
	feedPause    = 100 * time.Millisecond // after a failed read
)

// feed follows one of the platform's tables.
type feed struct {
	instance   *Instance
	table      stream.Table
	wait       time.Duration // a read waits this long for a record
	gap        time.Duration // pause after a read
	replace    func(all []stream.Record)
	apply      func(r stream.Record)
	onProgress func(next int64)       // receives the offset up to which the table is read; may be nil
	onSeen     func(at time.Duration) // receives the steady time as of which all records are applied; may be nil
	needed     func() bool            // nil for a table that is always followed
	next       int64
}

// loop reads the newest records and then follows the table. It starts over if records were trimmed before it read them.
func (f *feed) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.isNeeded() {
			sleep(ctx, idlePause)
			continue
		}
		err := f.load(ctx)
		for err == nil && f.isNeeded() {
			err = f.follow(ctx)
		}
		if err == nil {
			continue
		}
		var trimmed stream.TrimmedError
		if errors.As(err, &trimmed) {
			f.instance.config.Logger.Info("reloading table: records were trimmed", zap.Stringer("table", f.table), zap.Int64("first", trimmed.First))
			continue
		}
		sleep(ctx, feedPause)
	}
	return errors.Trace(ctx.Err())
}

func (f *feed) isNeeded() bool { return f.needed == nil || f.needed() }

func (f *feed) load(ctx context.Context) error {
	var all []stream.Record
	next, err := claim.ReadAll(ctx, f.instance.config.Log, f.table, f.instance.config.Logger, func(r stream.Record) { all = append(all, r) })
	if err != nil {
		return err
	}
	// The pages that were read are no snapshot: a record may be missing that is older than one of them.
	reading := stream.Reading{From: next, Sent: f.now()}
	tail, err := f.instance.proxiedLog.Read(ctx, f.table, next, 0)
	if err != nil {
		return err
	}
	reading.Answered = f.now()
	for _, stored := range tail.Records {
		all = append(all, stored.Record)
	}
	f.next = tail.Next
	f.instance.recordReply()
	f.replace(all)
	f.reportProgress()
	f.reportSeen(tail.CompleteAt(reading))
	return nil
}

// follow reads the next records. A read that fails temporarily is retried from the same offset.
func (f *feed) follow(ctx context.Context) error {
	reading := stream.Reading{From: f.next, Wait: f.wait, Sent: f.now()}
	batch, err := f.instance.proxiedLog.Read(ctx, f.table, f.next, f.wait)
	reading.Answered = f.now()
	if err != nil {
		var trimmed stream.TrimmedError
		if errors.As(err, &trimmed) || ctx.Err() != nil {
			return err
		}
		sleep(ctx, feedPause)
		return nil
	}
	f.instance.recordReply()
	for _, stored := range batch.Records {
		f.apply(stored.Record)
	}
	f.next = batch.Next
	if len(batch.Records) > 0 {
		f.reportProgress()
		f.instance.refreshShards()
	}
	f.reportSeen(batch.CompleteAt(reading))
	sleep(ctx, f.gap)
	return nil
}

func (f *feed) reportProgress() {
	if f.onProgress != nil {
		f.onProgress(f.next)
	}
}

func (f *feed) reportSeen(at time.Duration) {
	if f.onSeen != nil {
		f.onSeen(at)
	}
}

func (f *feed) now() time.Duration { return f.instance.config.Clock.Moment().Steady }

// recordOperatorsSeen records the steady time as of which everything that the operators have written is applied.
func (n *Instance) recordOperatorsSeen(at time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.operatorsSeenAt = max(n.operatorsSeenAt, at)
}

func (n *Instance) operatorsSeen() time.Duration {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.operatorsSeenAt
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
	out, waves := id.Set[id.DataCentre]{}, id.Set[int]{}
	for _, r := range all {
		switch change := n.decodeOperator(r).(type) {
		case catalog.EvacuationChange:
			if change.Evacuated {
				out.Add(change.DataCentre)
			}
		case catalog.WaveChange:
			waves.Add(change.Wave.Number)
		case catalog.ConfigChange, catalog.WorkerChange, nil:
		}
	}
	n.mu.Lock()
	n.evacuated = out
	maps.DeleteFunc(n.waves, func(number int, _ announcedWave) bool { return !waves.Has(number) })
	n.mu.Unlock()
	for _, r := range all {
		n.applyOperator(r)
	}
	n.refreshShards()
}

func (n *Instance) decodeOperator(r stream.Record) catalog.Change {
	change, err := n.config.Codec.Operator(r)
	if err != nil {
		n.config.Logger.Warn("skipped an operators' record that cannot be decoded", zap.String("key", r.Key), zap.Error(err))
		return nil
	}
	return change
}

func (n *Instance) applyOperator(r stream.Record) {
	switch change := n.decodeOperator(r).(type) {
	case catalog.ConfigChange:
		n.applyConfig(change.Config)
	case catalog.EvacuationChange:
		n.applyEvacuation(change)
	case catalog.WaveChange:
		n.applyWave(change)
	case catalog.WorkerChange, nil:
	}
}

// applyConfig applies a configuration if its version is higher than that of the current one.
func (n *Instance) applyConfig(c *catalog.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.catalog != nil && n.catalog.Version >= c.Version {
		return
	}
	n.catalog = &snapshot{c}
	n.config.Logger.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
}

func (n *Instance) applyEvacuation(e catalog.EvacuationChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Evacuated == n.evacuated.Has(e.DataCentre) {
		return
	}
	if e.Evacuated {
		n.evacuated.Add(e.DataCentre)
	} else {
		n.evacuated.Remove(e.DataCentre)
	}
	n.config.Logger.Info("data centre evacuated or restored", zap.String("dc", string(e.DataCentre)), zap.Bool("out", e.Evacuated))
}

func (n *Instance) applyWave(w catalog.WaveChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.Removed {
		delete(n.waves, w.Wave.Number)
		return
	}
	if _, known := n.waves[w.Wave.Number]; known {
		return
	}
	n.waves[w.Wave.Number] = announcedWave{wave: w.Wave, at: n.config.Clock.Moment().Steady}
	n.config.Logger.Info("maintenance wave announced", zap.Int("wave", w.Wave.Number), zap.Int("instances", len(w.Wave.Instances)),
		zap.Duration("within", w.Wave.Within), zap.Int("at_once", w.Wave.AtOnce))
}

func (n *Instance) replaceWorkers(all []stream.Record) {
	n.mu.Lock()
	n.workers = map[string]catalog.Worker{}
	n.mu.Unlock()
	for _, r := range all {
		n.applyWorker(r)
	}
	n.refreshShards()
}

func (n *Instance) applyWorker(r stream.Record) {
	change, err := n.config.Codec.Worker(r)
	if err != nil {
		n.config.Logger.Debug("could not decode a worker's entry", zap.String("worker", r.Key), zap.Error(err))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if change.Worker == nil {
		delete(n.workers, r.Key)
		return
	}
	n.workers[r.Key] = *change.Worker
}
