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

// termKey is the key of the term of the newest owner that may have given orders.
const termKey = "term"

// closeLimit bounds the time in which an owner that stops says so.
const closeLimit = 500 * time.Millisecond

// term is what an owner stores of itself: before its first order, once no run of an earlier owner can go on
// unseen, and when it has stopped.
type term struct {
	Holder  string        `cbor:"1,keyasint"`
	Open    time.Duration `cbor:"2,keyasint,omitempty"` // from now, how long runs of earlier owners may go on unseen
	Stopped bool          `cbor:"3,keyasint,omitempty"` // it gives no orders any more
}

func (t term) record() (stream.Record, error) {
	data, err := cbor.Marshal(t)
	return stream.Record{Key: termKey, Value: data}, err
}

// loadTerm takes in the term of the owner before this one.
func (s *Shard) loadTerm(r stream.Record) {
	if r.Key != termKey || len(r.Value) == 0 {
		return
	}
	var t term
	if err := cbor.Unmarshal(r.Value, &t); err != nil {
		s.config.Logger.Error("the stored term of an owner cannot be read", zap.Error(err))
		return
	}
	s.earlier = &t
}

// inherited returns how long a run of an earlier owner may go on that nobody has seen: its last lease, and
// before that the time for which an owner may not have heard of this one. That time is over for an owner that has
// stopped or was an earlier process of this instance, but not for those before it that it was still waiting for.
func (s *Shard) inherited() time.Duration {
	lease := time.Duration(float64(s.config.Settings.Lease)*(1+2*pool.ClockDrift)) + inheritedSlack
	if t := s.earlier; t != nil && (t.Stopped || t.Holder == s.config.Holder) {
		return max(lease, t.Open)
	}
	return ownerTimeout + lease
}

// open has this owner's term stored with the first batch; nothing is ordered before.
func (s *Shard) open(at pool.Moment) error {
	wait := s.inherited()
	s.settled = at.Steady + wait
	r, err := term{Holder: s.config.Holder, Open: wait}.record()
	s.handedIn = append(s.handedIn, r)
	return err
}

// settle has it stored once that no run of an earlier owner can go on unseen any more.
func (s *Shard) settle(at pool.Moment) error {
	if s.settled == 0 || at.Steady < s.settled {
		return nil
	}
	s.settled = 0
	r, err := term{Holder: s.config.Holder}.record()
	s.handedIn = append(s.handedIn, r)
	return err
}

// close says that this owner has stopped; a successor that does not learn it waits longer.
func (s *Shard) close(ctx context.Context) {
	s.sending.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
	defer cancel()
	t := term{Holder: s.config.Holder, Stopped: true}
	if s.settled > 0 {
		t.Open = max(0, s.settled-s.config.Clock.Moment().Steady)
	}
	r, err := t.record()
	if err != nil {
		s.config.Logger.Error("the term of an owner cannot be written", zap.Error(err))
		return
	}
	writer := s.writer
	_, err = s.config.Log.Append(ctx, s.output, []stream.Record{r}, &writer)
	var sequence stream.SequenceError
	if errors.As(err, &sequence) && sequence.Expected < writer.Sequence {
		// The batch that was on its way has not landed; its number is taken, so it never will.
		writer.Sequence = sequence.Expected
		_, err = s.config.Log.Append(ctx, s.output, []stream.Record{r}, &writer)
	}
	if err != nil {
		s.config.Logger.Info("could not store that an owner has stopped", zap.String("pool", s.config.Pool), zap.Error(err))
	}
}
