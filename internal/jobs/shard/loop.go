package shard

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// run is the control thread. Events that arrive within iterationGap of an iteration wait for the next one, so that the
// number of iterations does not grow with the number of events in a surge.
func (s *Shard) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gapTimer := time.NewTimer(0)
	defer gapTimer.Stop()
	fatal := make(chan error, 1)
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case err := <-fatal:
			return err
		case event := <-s.events:
			s.handleEvent(event)
		case <-s.refresh:
			s.applyView(s.config.Clock.Moment())
		case <-gapTimer.C:
		case <-ticker.C:
		}
		from := s.config.Clock.Moment().Steady
		if wait := s.iterationEnded + iterationGap - from; wait > 0 {
			gapTimer.Reset(wait)
			continue
		}
		// An answer that is waiting may hold the end of a run that would count as expired, whatever has woken the loop.
		s.handleQueuedEvents()
		s.iterate(ctx, fatal)
		s.iterationEnded = s.config.Clock.Moment().Steady
		s.stats.recordIteration(s.iterationEnded - from)
	}
}

// handleQueuedEvents handles all events that are waiting, so that one iteration covers them all.
func (s *Shard) handleQueuedEvents() {
	for {
		select {
		case event := <-s.events:
			s.handleEvent(event)
		default:
			return
		}
	}
}

func (s *Shard) handleEvent(e event) {
	at := s.config.Clock.Moment()
	s.stats.recordEvent(at.Steady - e.queuedAt)
	s.pool.RecordLag(at, at.Steady-e.queuedAt)
	e.do(at)
}

// iterate runs one iteration: it updates the pool's decisions, stores what has changed and sends the orders.
func (s *Shard) iterate(ctx context.Context, fatal chan error) {
	at := s.config.Clock.Moment()
	s.updateMemory()
	s.pool.CountUptime(at, s.logWait(at))
	// The answer to a batch also proves ownership, so a separate proof is needed only without a batch or when the
	// batch has waited too long.
	if at.Steady-s.provenAt > proofInterval && !s.proving && (!s.writing || s.logWait(at) > proofInterval) {
		s.proving = true
		p := &proof{shard: s, sent: at.Steady}
		go p.run(ctx, fatal)
	}
	if at.Steady-s.provenAt > ownerTimeout {
		// A successor may have claimed the pool without this owner's knowledge: send no orders until the log confirms
		// the ownership.
		return
	}
	s.pool.Tick(at)
	s.orderStarts(ctx)
	s.sendOrders(ctx) // a start must not wait for the rest
	if at.Steady-s.pacedAt > paceInterval {
		s.pacedAt = at.Steady
		s.pool.Pace(at)
		s.pool.DrainLongRunning(at)
		s.pool.Rescue(at)
		s.recordUnseen()
		s.placeRequested = true
	}
	if s.placeRequested && !s.writing && !s.pool.HasUnsent() && at.Steady-s.placedAt >= placeInterval {
		s.placeRequested = false
		s.placedAt = at.Steady
		s.pool.Place(at)
	}
	s.logStatus(at)
	s.reportRunTimes(at)
	if err := s.storeInheritedEnd(at); err != nil {
		s.fail(fatal, err)
	}
	s.store(ctx, fatal)
	s.cleanIntake(ctx)
	s.cleanCancellations(ctx, at)
	s.sendOrders(ctx)
}

// logStatus logs the state of the pool's work at most once per statusInterval while some jobs are late or infeasible, or
// while the owner is behind with its events.
func (s *Shard) logStatus(at pool.Moment) {
	if at.Steady-s.statusLoggedAt < statusInterval {
		return
	}
	s.statusLoggedAt = at.Steady
	b := s.stats.reset()
	begun, waits := s.pool.TakeWaits()
	s.logRetries()
	st := s.pool.Stats(at)
	message := "pool has more work than capacity"
	if st.AtRiskOrLate+st.Infeasible == 0 {
		if message = "owner is behind"; b.oldestEvent < behindThreshold {
			return
		}
	}
	s.config.Logger.Info(message, append(b.fields(), zap.String("pool", s.config.Pool), zap.Int("timely", st.OnTime),
		zap.Int("late", st.AtRiskOrLate), zap.Int("hopeless", st.Infeasible), zap.Int("workers", st.Workers), zap.Int("room", st.Capacity),
		zap.Int("used", st.Used), zap.Int("unconfirmed", st.Unconfirmed), zap.Int("used_late", st.UsedAtRiskOrLate),
		zap.Int("used_hopeless", st.UsedInfeasible), zap.Int("waiting", st.Waiting), zap.Int("capped", st.Capped),
		zap.Int("suspected", st.Suspected), zap.Int("probation", st.OnProbation), zap.Int("ejected", st.Ejected), zap.Int("overdrafts", st.Overdrafts), zap.Int64("job_bytes", s.pool.MemoryBytes()),
		zap.Duration("lag", s.pool.Lag(at)), zap.Duration("log_waits", s.logWait(at)), zap.Int("begun", begun), mean("wait_owner", waits.Owner, begun),
		mean("wait_room", waits.Capacity, begun), mean("wait_log", waits.Log, begun), mean("wait_order", waits.Order, begun))...)
}

// logRetries logs what became of callers that were told to come back.
func (s *Shard) logRetries() {
	c := s.pool.TakeRetryCounts()
	if c == (pool.RetryCounts{}) {
		return
	}
	s.config.Logger.Info("rejected callers come back", zap.String("pool", s.config.Pool), zap.Int("due", c.Due), zap.Int("not_servable", c.NotServable),
		zap.Int("early", c.Early), zap.Int("missed", c.Missed), zap.Int("reserved", c.Reserved), zap.Int("unreserved", c.Unreserved))
}

func mean(name string, sum time.Duration, count int) zap.Field {
	return zap.Duration(name, sum/time.Duration(max(1, count)))
}

// logWait returns how long the batch in flight has waited for the log, or 0 without one.
func (s *Shard) logWait(at pool.Moment) time.Duration {
	if !s.writing {
		return 0
	}
	return at.Steady - s.writeStarted
}

// store writes the changes since the last batch, with one batch in flight at a time.
func (s *Shard) store(ctx context.Context, fatal chan error) {
	if s.writing {
		return
	}
	batch := s.pool.Flush()
	s.addRunTimes(s.config.Clock.Moment())
	s.addUptime(batch)
	if batch.Empty() && len(s.pendingRecords) == 0 {
		s.pool.MarkEndsStored(batch)
		return
	}
	records, err := s.records(batch)
	if err != nil {
		s.fail(fatal, err)
		return
	}
	records = s.storable(append(s.pendingRecords, records...))
	if len(records) == 0 {
		s.pendingRecords = nil
		s.pool.MarkEndsStored(batch)
		return
	}
	s.writing, s.writeStarted = true, s.config.Clock.Moment().Steady
	calls := s.splitCalls(records)
	w := &write{shard: s, batch: batch, calls: calls, callers: s.callers, writer: s.writer, queuedAt: s.writeStarted}
	s.pendingRecords, s.callers = nil, nil
	s.writer.Sequence += int64(len(calls))
	s.inFlight.Go(func() { w.run(ctx, fatal) })
}

// storable leaves out the records that the log never takes: repeated for ever, they would hold up all others.
func (s *Shard) storable(records []stream.Record) []stream.Record {
	return slices.DeleteFunc(records, func(r stream.Record) bool {
		err := r.Check(s.recordLimit() + recordReserve)
		if err != nil {
			s.config.Logger.Error("left out a record that the log never takes", zap.String("pool", s.config.Pool), zap.Error(err))
		}
		return err != nil
	})
}

func (s *Shard) records(batch *pool.Batch) ([]stream.Record, error) {
	var records []stream.Record
	for _, stored := range batch.Jobs {
		list, err := progressRecords(stored, s.recordLimit())
		if err != nil {
			return nil, err
		}
		if parts := len(list) - 1; parts > s.partCounts[stored.ID] {
			s.partCounts[stored.ID] = parts
		}
		records = append(records, list...)
	}
	for _, name := range batch.Dropped {
		if _, inIntake := s.intakeJobs.Load(name); inIntake {
			s.expiredJobs = append(s.expiredJobs, name)
			continue
		}
		records = append(records, s.dropRecords(name)...)
	}
	return append(records, s.dropCancellations(batch.Expired)...), nil
}

func (s *Shard) fail(fatal chan error, err error) {
	select {
	case fatal <- err:
	default:
	}
}

// write appends one batch, in as many calls as the store's limit requires, retrying until the log has it. The answer proves the ownership only as of the first attempt,
// since the log may answer a retry as it answered the first attempt.
type write struct {
	shard    *Shard
	batch    *pool.Batch
	calls    [][]stream.Record
	callers  []chan struct{} // closed once the log has the batch
	writer   stream.Writer
	fence    int64         // offset after the newest stored call's first record, 0 if unknown: no other owner has that number
	queuedAt time.Duration // steady time at which the batch was queued
}

func (w *write) run(ctx context.Context, fatal chan error) {
	s := w.shard
	sent := s.config.Clock.Moment().Steady
	for _, records := range w.calls {
		if !w.append(ctx, fatal, records) {
			return
		}
		w.writer.Sequence++
	}
	s.post(ctx, func(at pool.Moment) {
		s.writing = false
		s.termStored = true
		s.stats.recordWrite(at.Steady - w.queuedAt)
		s.provenAt = max(s.provenAt, sent)
		s.placeRequested = true
		s.pool.RaiseFence(w.fence)
		s.pool.RecordStored(at, w.batch)
	})
	for _, caller := range w.callers {
		close(caller)
	}
}

// append appends the records of one call, retrying until the log has them, and reports whether it has.
func (w *write) append(ctx context.Context, fatal chan error, records []stream.Record) bool {
	s := w.shard
	for {
		offset, err := s.config.Log.Append(ctx, s.output, records, &w.writer)
		if err == nil {
			w.fence = offset + 1
			return true
		}
		var sequence stream.SequenceError
		if errors.As(err, &sequence) && sequence.Expected == w.writer.Sequence+1 {
			return true // an earlier attempt may have stored them
		}
		var fenced stream.FencedError
		if errors.As(err, &fenced) || errors.As(err, &sequence) {
			s.fail(fatal, errors.Annotatef(err, "storing progress of pool %s", s.config.Pool))
			return false
		}
		if claim.Backoff(ctx, s.config.Logger, err) != nil {
			return false
		}
	}
}

// proof asks the log whether this owner's claim is still the newest.
type proof struct {
	shard *Shard
	sent  time.Duration
}

func (p *proof) run(ctx context.Context, fatal chan error) {
	s := p.shard
	err := s.claim.Prove(ctx)
	var fenced stream.FencedError
	if errors.As(err, &fenced) {
		s.fail(fatal, errors.Annotatef(err, "proving the claim on pool %s", s.config.Pool))
		return
	}
	s.post(ctx, func(pool.Moment) {
		s.proving = false
		if err == nil {
			s.provenAt = max(s.provenAt, p.sent)
		}
	})
}
