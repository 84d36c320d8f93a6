package shard

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/claim"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// run is the control thread. What comes shortly after a turn waits for the next one, so that the turns of a
// pool in a surge do not grow with its events.
func (s *Shard) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	rest := time.NewTimer(0)
	defer rest.Stop()
	fatal := make(chan error, 1)
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case err := <-fatal:
			return err
		case event := <-s.events:
			s.takeIn(event)
			s.drain()
		case <-s.refresh:
			s.applyView(s.config.Clock.Moment())
		case <-rest.C:
		case <-ticker.C:
		}
		from := s.config.Clock.Moment().Steady
		if wait := s.turned + turnGap - from; wait > 0 {
			rest.Reset(wait)
			continue
		}
		s.turn(ctx, fatal)
		s.turned = s.config.Clock.Moment().Steady
		s.pulse.turn(s.turned - from)
	}
}

// drain takes in the events that are waiting, so that one round of decisions covers them all.
func (s *Shard) drain() {
	for {
		select {
		case event := <-s.events:
			s.takeIn(event)
		default:
			return
		}
	}
}

func (s *Shard) takeIn(e event) {
	at := s.config.Clock.Moment()
	s.pulse.event(at.Steady - e.since)
	e.do(at)
}

// turn decides and carries out one round.
func (s *Shard) turn(ctx context.Context, fatal chan error) {
	at := s.config.Clock.Moment()
	// The answer to a batch is a proof as well, unless the batch waits.
	if at.Steady-s.proven > renewInterval && !s.proving && (!s.writing || s.logWait(at) > renewInterval) {
		s.proving = true
		p := &proof{shard: s, sent: at.Steady}
		go p.run(ctx, fatal)
	}
	if at.Steady-s.proven > ownerTimeout {
		// A successor may have claimed the pool unheard: nothing is ordered until the log says otherwise.
		return
	}
	s.pool.Tick(at)
	if at.Steady-s.paced > paceInterval {
		s.paced = at.Steady
		s.pool.Pace(at)
		s.pool.Clear()
		s.pool.Rescue(at)
		s.wantPlace = true
	}
	if s.wantPlace && !s.writing && at.Steady-s.placed >= placeInterval {
		s.wantPlace = false
		s.placed = at.Steady
		s.pool.Place(at)
	}
	s.logStanding(at)
	if err := s.settle(at); err != nil {
		s.fail(fatal, err)
	}
	s.store(ctx, fatal)
	s.clean(ctx)
	s.carryOut(ctx)
}

// logStanding says now and then how the work stands while some of it cannot be in time, or the owner is behind.
func (s *Shard) logStanding(at pool.Moment) {
	if at.Steady-s.told < standingInterval {
		return
	}
	s.told = at.Steady
	b := s.pulse.take()
	begun, waits := s.pool.TakeWaits()
	st := s.pool.Standing(at)
	message := "pool has more work than room"
	if st.Tardy+st.Hopeless == 0 {
		if message = "owner is behind"; b.oldest < behind {
			return
		}
	}
	s.config.Logger.Info(message, append(b.fields(), zap.String("pool", s.config.Pool), zap.Int("timely", st.Timely),
		zap.Int("late", st.Tardy), zap.Int("hopeless", st.Hopeless), zap.Int("workers", st.Workers), zap.Int("room", st.Room),
		zap.Int("used", st.Used), zap.Int("unconfirmed", st.Unconfirmed), zap.Int("used_late", st.UsedTardy),
		zap.Int("used_hopeless", st.UsedHopeless), zap.Int("waiting", st.Waiting), zap.Int("capped", st.Capped),
		zap.Duration("log_waits", s.logWait(at)), zap.Int("begun", begun), mean("wait_owner", waits.Owner, begun),
		mean("wait_room", waits.Room, begun), mean("wait_log", waits.Log, begun), mean("wait_order", waits.Order, begun))...)
}

func mean(name string, sum time.Duration, count int) zap.Field {
	return zap.Duration(name, sum/time.Duration(max(1, count)))
}

// logWait returns how long the batch that is on its way has waited for the log.
func (s *Shard) logWait(at pool.Moment) time.Duration {
	if !s.writing {
		return 0
	}
	return at.Steady - s.wrote
}

// store writes what has changed, one batch at a time.
func (s *Shard) store(ctx context.Context, fatal chan error) {
	if s.writing {
		return
	}
	batch := s.pool.Flush()
	if batch.Empty() && len(s.handedIn) == 0 {
		s.pool.NothingToStore(batch)
		return
	}
	records, err := s.records(batch)
	if err != nil {
		s.fail(fatal, err)
		return
	}
	if len(records)+len(s.handedIn) == 0 {
		s.pool.NothingToStore(batch)
		return
	}
	s.writing, s.wrote = true, s.config.Clock.Moment().Steady
	w := &write{shard: s, batch: batch, records: append(s.handedIn, records...), callers: s.callers, writer: s.writer, since: s.wrote}
	s.handedIn, s.callers = nil, nil
	s.writer.Sequence++
	s.sending.Go(func() { w.run(ctx, fatal) })
}

func (s *Shard) records(batch *pool.Batch) ([]stream.Record, error) {
	var records []stream.Record
	for _, stored := range batch.Jobs {
		r, err := progressRecord(stored)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	for _, name := range batch.Dropped {
		if _, there := s.direct.Load(name); there {
			s.forgotten = append(s.forgotten, name)
			continue
		}
		records = append(records, dropRecords(name)...)
	}
	return records, nil
}

func (s *Shard) fail(fatal chan error, err error) {
	select {
	case fatal <- err:
	default:
	}
}

// write appends one batch until the log has it. Its answer proves the claim as of the first try: a repeat may be
// answered as that was.
type write struct {
	shard   *Shard
	batch   *pool.Batch
	records []stream.Record
	callers []chan struct{} // closed once the log has the batch
	writer  stream.Writer
	since   time.Duration // steady time at which it was handed over
}

func (w *write) run(ctx context.Context, fatal chan error) {
	s := w.shard
	sent := s.config.Clock.Moment().Steady
	for {
		_, err := s.config.Log.Append(ctx, s.output, w.records, &w.writer)
		var sequence stream.SequenceError
		if errors.As(err, &sequence) && sequence.Expected == w.writer.Sequence+1 {
			// An earlier try of this batch has landed.
			err = nil
		}
		if err == nil {
			s.post(ctx, func(at pool.Moment) {
				s.writing = false
				s.opened = true
				s.pulse.stored(at.Steady - w.since)
				s.proven = max(s.proven, sent)
				s.wantPlace = true
				s.pool.Stored(at, w.batch)
			})
			for _, caller := range w.callers {
				close(caller)
			}
			return
		}
		var fenced stream.FencedError
		if errors.As(err, &fenced) || errors.As(err, &sequence) {
			s.fail(fatal, errors.Annotatef(err, "storing progress of pool %s", s.config.Pool))
			return
		}
		if claim.Pause(ctx, s.config.Logger, err) != nil {
			return
		}
	}
}

// proof asks the log whether this owner is still the newest.
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
			s.proven = max(s.proven, p.sent)
		}
	})
}

// loopIntake follows the jobs and cancellations that instances hand in.
func (s *Shard) loopIntake(ctx context.Context) error {
	next := s.tail
	for ctx.Err() == nil {
		batch, err := s.config.Log.Read(ctx, s.intake, next, intakeWait)
		var trimmed stream.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			from, err := claim.ReadAll(ctx, s.config.Log, s.intake, s.config.Logger, func(r stream.Record) { s.take(ctx, r) })
			if err != nil {
				return err
			}
			next = from
			continue
		case err != nil:
			if err := claim.Pause(ctx, s.config.Logger, err); err != nil {
				return err
			}
			continue
		}
		for _, kept := range batch.Records {
			s.take(ctx, kept.Record)
		}
		next = batch.Next
		s.post(ctx, func(pool.Moment) { s.tail = batch.Next })
	}
	return errors.Trace(ctx.Err())
}

func (s *Shard) take(ctx context.Context, r stream.Record) {
	if len(r.Value) == 0 {
		return
	}
	if name, ok := strings.CutPrefix(r.Key, cancelPrefix); ok {
		s.direct.Store(job.ID(name), struct{}{})
		s.post(ctx, func(at pool.Moment) {
			s.pool.Cancel(at, job.ID(name))
			s.wantPlace = true
		})
		return
	}
	if spec, ok := s.decodeSpec(r); ok {
		s.direct.Store(spec.ID, struct{}{})
		s.post(ctx, func(at pool.Moment) {
			s.pool.Submit(at, spec)
			s.wantPlace = true
		})
	}
}

// carryOut sends the orders that were decided, once this owner's term is stored.
func (s *Shard) carryOut(ctx context.Context) {
	if !s.opened {
		return
	}
	for _, a := range s.pool.Actions() {
		o := &order{shard: s, action: a, since: s.config.Clock.Moment().Steady}
		s.sending.Go(func() { o.run(ctx) })
	}
}

// order carries out one action and brings back its outcome.
type order struct {
	shard  *Shard
	action pool.Action
	since  time.Duration // steady time of the decision
}

func (o *order) run(ctx context.Context) {
	s, w := o.shard, o.shard.config.Workers
	sent := s.config.Clock.Moment().Steady
	var outcome func(at pool.Moment)
	switch a := o.action.(type) {
	case pool.StartAction:
		answer, err := w.Start(ctx, a.To, a.Start)
		outcome = func(at pool.Moment) { s.pool.Started(at, a, answer, err) }
	case pool.StopAction:
		answer, err := w.Stop(ctx, a.To, a.Run, a.Fence)
		outcome = func(at pool.Moment) { s.pool.StopAnswered(at, a, answer, err) }
	case pool.LookAction:
		report, err := w.Hold(ctx, a.To, a.Hold)
		outcome = func(at pool.Moment) { s.pool.Looked(at, a, report, err) }
	case pool.AdviseAction:
		advice, err := s.config.Advisor.Advise(ctx, a.Step, a.Workers)
		outcome = func(at pool.Moment) { s.pool.Advised(at, a, advice, err) }
	case pool.PaceAction:
		answer, err := w.Pace(ctx, a.To, a.Run, a.Percent, a.Fence)
		outcome = func(at pool.Moment) { s.pool.Paced(at, a, answer, err) }
	}
	_, start := o.action.(pool.StartAction)
	s.post(ctx, func(at pool.Moment) {
		s.pulse.order(start, sent-o.since, at.Steady-sent)
		outcome(at)
		s.wantPlace = true
	})
}
