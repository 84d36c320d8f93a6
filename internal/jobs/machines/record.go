package machines

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

const wavePrefix = "wave/"

// waveRecord is how far a wave is, as stored.
type waveRecord struct {
	Number   int      `cbor:"1,keyasint"`
	Done     []string `cbor:"2,keyasint,omitempty"`
	Finished bool     `cbor:"3,keyasint,omitempty"`
}

// recentKey is the key of the instances that were ordered about lately.
const recentKey = "recent"

// recentRecord names the instances that holders of the claim have ordered about lately.
type recentRecord struct {
	Names []string        `cbor:"1,keyasint,omitempty"`
	Rests []time.Duration `cbor:"2,keyasint,omitempty"` // for how long a successor leaves each alone
}

// rest returns for how long a successor leaves an instance of the record alone; an earlier version did not say so.
func (r *recentRecord) rest(number int, whole time.Duration) time.Duration {
	if number < len(r.Rests) {
		return r.Rests[number]
	}
	return whole
}

// rest is the time from the recording of an order until another holder may order the same instance about.
func (k *Keeper) rest() time.Duration { return orderLife + k.config.Turn }

// record stores which instances are about to be ordered about, so that a successor leaves them alone for
// a while; orders that are not recorded are not given.
func (k *Keeper) record(ctx context.Context, now time.Duration, actions []Action) error {
	if len(actions) == 0 {
		return nil
	}
	for _, a := range actions {
		k.recent[instanceOf(a)] = now + k.rest()
	}
	var r recentRecord
	for name, till := range k.recent {
		if till <= now {
			delete(k.recent, name)
			continue
		}
		r.Names = append(r.Names, name)
		r.Rests = append(r.Rests, till-now)
	}
	return k.append(ctx, recentKey, r)
}

func instanceOf(a Action) string {
	switch a := a.(type) {
	case MoveAction:
		return a.Instance
	case MaintainAction:
		return a.Instance
	}
	return ""
}

// answered notes that an order will not be carried out any more.
func (k *Keeper) answered(now time.Duration, instance string) {
	k.recent[instance] = min(k.recent[instance], now+k.config.Turn)
}

// Recent returns the instances that a record of the keeper's table names as ordered about lately.
func Recent(r stream.Record) ([]string, error) {
	recent, err := recentOf(r)
	return recent.Names, err
}

func recentOf(r stream.Record) (recentRecord, error) {
	var recent recentRecord
	if r.Key != recentKey || len(r.Value) == 0 {
		return recent, nil
	}
	err := cbor.Unmarshal(r.Value, &recent)
	return recent, errors.Annotate(err, "decoding the recent orders for instances")
}

func (k *Keeper) load(r stream.Record) {
	recent, err := recentOf(r)
	if err != nil {
		k.config.Logger.Error("a stored record cannot be read", zap.Error(err))
	}
	for i, name := range recent.Names {
		k.inherited[name] = recent.rest(i, k.rest())
	}
	if !strings.HasPrefix(r.Key, wavePrefix) || len(r.Value) == 0 {
		return
	}
	var w waveRecord
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		k.config.Logger.Error("a stored wave cannot be read", zap.String("key", r.Key), zap.Error(err))
		return
	}
	k.stored[w.Number] = w.Done
	k.done[w.Number] = len(w.Done)
	k.finished[w.Number] = w.Finished
}

// announce takes a wave in and publishes that it runs.
func (k *Keeper) announce(ctx context.Context, now time.Duration, w catalog.Wave) {
	if _, known := k.planner.waves[w.Number]; known || k.finished[w.Number] {
		return
	}
	k.planner.AddWave(now, w, k.stored[w.Number])
	k.publish(ctx, w.Number, false)
}

func (k *Keeper) publish(ctx context.Context, number int, done bool) bool {
	r, err := k.config.Codec.WaveStatus(number, done)
	if err == nil {
		_, err = k.config.Log.Append(ctx, k.config.Status, []stream.Record{r}, nil)
	}
	if err != nil {
		k.config.Logger.Warn("could not publish the status of a wave", zap.Int("wave", number), zap.Error(err))
		return false
	}
	k.config.Logger.Info("wave status published", zap.Int("wave", number), zap.Bool("done", done))
	return true
}

// report stores how far the waves are and publishes those that have ended.
func (k *Keeper) report(ctx context.Context) error {
	for _, number := range k.planner.Waves() {
		done, all := k.planner.Done(number)
		if len(done) > k.done[number] {
			if err := k.store(ctx, waveRecord{Number: number, Done: done}); err != nil {
				return err
			}
			k.done[number] = len(done)
		}
		if all && !k.finished[number] && k.publish(ctx, number, true) {
			if err := k.store(ctx, waveRecord{Number: number, Done: done, Finished: true}); err != nil {
				return err
			}
			k.finished[number] = true
		}
	}
	return nil
}

// store writes how far a wave is; that the log did not take it is no fault, as the same is written again.
func (k *Keeper) store(ctx context.Context, w waveRecord) error {
	err := k.append(ctx, fmt.Sprintf("%s%d", wavePrefix, w.Number), w)
	var later laterError
	if errors.As(err, &later) {
		k.config.Logger.Warn("could not store how far a wave is", zap.Int("wave", w.Number), zap.Error(err))
		return nil
	}
	return err
}

// laterError reports a record that the log did not take now.
type laterError struct{ cause error }

func (e laterError) Error() string { return "not stored yet: " + e.cause.Error() }

// append stores a record under the claim; it fails with a laterError when the log did not take it now. A record whose
// append was not answered goes first, under its own number: the log answers another one of that number without storing it.
func (k *Keeper) append(ctx context.Context, key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Annotate(err, key)
	}
	if k.unsure != nil {
		if err := k.send(ctx, *k.unsure); err != nil {
			return err
		}
	}
	asked := k.config.Clock.Moment().Steady
	if err := k.send(ctx, stream.Record{Key: key, Value: data}); err != nil {
		return err
	}
	k.proved(asked)
	return nil
}

// send appends a record under the next number.
func (k *Keeper) send(ctx context.Context, r stream.Record) error {
	_, err := k.config.Log.Append(ctx, Table(), []stream.Record{r}, &k.writer)
	k.unsure = nil
	var fenced stream.FencedError
	var sequence stream.SequenceError
	switch {
	case err == nil:
		k.writer.Sequence++
		return nil
	case errors.As(err, &fenced):
		return errors.Annotatef(err, "storing %s", r.Key)
	case errors.As(err, &sequence):
		k.writer.Sequence = sequence.Expected
	default:
		k.unsure = &r
	}
	return laterError{cause: err}
}
