package shard

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// termKey is the key of the record that holds the term of the newest owner that may have sent orders.
const termKey = "term"

// closeTimeout bounds the time in which a stopping owner stores that it has stopped.
const closeTimeout = 500 * time.Millisecond

// term is the record of an owner's leadership term. An owner stores it before its first order, again once no unreported
// run of an earlier owner can still be running, and when it has stopped.
type term struct {
	Holder        string        `cbor:"1,keyasint"`
	InheritedWait time.Duration `cbor:"2,keyasint,omitempty"` // how long unreported runs of earlier owners may still run, from the time of the record
	Stopped       bool          `cbor:"3,keyasint,omitempty"` // whether the owner has stopped sending orders
	Unleased      []string      `cbor:"4,keyasint,omitempty"` // of a stopped owner, workers with runs to which it had granted no lease
}

// maxUnleased is the most workers that a term names, so that its record does not get too long.
const maxUnleased = 1000

// unleased returns the workers to which a stopped owner had granted no lease, or nil if there was none.
func (t *term) unleased() []string {
	if t == nil || !t.Stopped {
		return nil
	}
	return t.Unleased
}

// unleasedWait returns how long unreported runs on the workers that unleased returns may still run.
func (t *term) unleasedWait() time.Duration {
	if t == nil {
		return 0
	}
	return t.InheritedWait
}

func (t term) record() (stream.Record, error) {
	data, err := cbor.Marshal(t)
	return stream.Record{Key: termKey, Value: data}, err
}

// loadTerm applies the stored term of the previous owner and ignores other records.
func (s *Shard) loadTerm(r stream.Record) {
	if r.Key != termKey || len(r.Value) == 0 {
		return
	}
	var t term
	if err := cbor.Unmarshal(r.Value, &t); err != nil {
		s.config.Logger.Error("cannot decode stored owner term", zap.Error(err))
		return
	}
	s.previousTerm = &t
}

// inheritedWait returns how long an unreported run of an earlier owner may still run: the last lease that the owner
// granted, after the ownerTimeout for which it may send orders unaware of this claim. The ownerTimeout does not apply when
// the previous owner has stopped or was an earlier process of this instance; the wait then lasts at least as long as the
// wait that this owner has recorded for the owners before it. A run on a worker to which the previous owner had granted no
// lease may run for the latter only.
func (s *Shard) inheritedWait() time.Duration {
	lease := HandoverWait(s.config.Settings.Lease)
	if t := s.previousTerm; t != nil && (t.Stopped || t.Holder == s.config.Holder) {
		return max(lease, t.InheritedWait)
	}
	return ownerTimeout + lease
}

// HandoverWait returns how long the successor of an owner that has stopped waits at least for runs that no answer has shown,
// when workers grant the given lease.
func HandoverWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+2*pool.ClockDrift)) + inheritedSlack
}

// UnseenWait returns how long this owner still waits for runs of earlier owners that a successor would wait for anew, or 0 if
// there are none. It may be called from any goroutine.
func (s *Shard) UnseenWait(at time.Duration) time.Duration {
	return max(0, time.Duration(s.unseenUntil.Load())-at)
}

// recordUnseen updates what UnseenWait returns.
func (s *Shard) recordUnseen() {
	until := s.inheritedUntil
	if until > 0 && !s.pool.HasUnseenLeased() {
		until = 0
	}
	s.unseenUntil.Store(int64(until))
}

// storeTerm adds this owner's term to the first batch. No orders are sent before that batch is stored.
func (s *Shard) storeTerm(at pool.Moment) error {
	wait := s.inheritedWait()
	s.inheritedUntil = at.Steady + wait
	r, err := term{Holder: s.config.Holder, InheritedWait: wait}.record()
	s.pendingRecords = append(s.pendingRecords, r)
	return err
}

// storeInheritedEnd stores, once, that no unreported run of an earlier owner can still be running.
func (s *Shard) storeInheritedEnd(at pool.Moment) error {
	if s.inheritedUntil == 0 || at.Steady < s.inheritedUntil {
		return nil
	}
	s.inheritedUntil = 0
	r, err := term{Holder: s.config.Holder}.record()
	s.pendingRecords = append(s.pendingRecords, r)
	return err
}

// close stores that this owner has stopped. Without that record a successor waits longer.
func (s *Shard) close(ctx context.Context) {
	s.inFlight.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	t := term{Holder: s.config.Holder, Stopped: true}
	if unleased := s.pool.Unleased(); len(unleased) <= maxUnleased {
		t.Unleased = unleased
	}
	if s.inheritedUntil > 0 {
		t.InheritedWait = max(0, s.inheritedUntil-s.config.Clock.Moment().Steady)
	}
	r, err := t.record()
	if err != nil {
		s.config.Logger.Error("cannot encode owner term", zap.Error(err))
		return
	}
	writer := s.writer
	_, err = s.config.Log.Append(ctx, s.output, []stream.Record{r}, &writer)
	var sequence stream.SequenceError
	if errors.As(err, &sequence) && sequence.Expected < writer.Sequence {
		// The batch in flight was not stored. This append uses its sequence number, so the batch never will be.
		writer.Sequence = sequence.Expected
		_, err = s.config.Log.Append(ctx, s.output, []stream.Record{r}, &writer)
	}
	if err != nil {
		s.config.Logger.Info("cannot store that this owner has stopped", zap.String("pool", s.config.Pool), zap.Error(err))
	}
}
