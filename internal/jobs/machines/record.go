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

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Number   int      `cbor:"1,keyasint"`
	Done     []string `cbor:"2,keyasint,omitempty"`
	Finished bool     `cbor:"3,keyasint,omitempty"`
}

// recentKey is the key of the record of recently ordered instances.
const recentKey = "recent"

// recentRecord names the instances that holders of the claim have recently sent orders to.
type recentRecord struct {
	Names []string        `cbor:"1,keyasint,omitempty"`
	Rests []time.Duration `cbor:"2,keyasint,omitempty"` // cooldown of each instance for a successor
}

// cooldown returns the cooldown of an instance for a successor, or whole when the record has none, as in an earlier
// version.
func (r *recentRecord) cooldown(number int, whole time.Duration) time.Duration {
	if number < len(r.Rests) {
		return r.Rests[number]
	}
	return whole
}

// cooldown is the time from the recording of an order until another holder may send orders to the same instance.
func (a *Autoscaler) cooldown() time.Duration { return orderTimeout + a.config.HolderCooldown }

// record stores which instances are about to get orders, so that a successor observes their cooldown; orders that
// cannot be recorded are not sent.
func (a *Autoscaler) record(ctx context.Context, now time.Duration, actions []Action) error {
	if len(actions) == 0 {
		return nil
	}
	for _, action := range actions {
		a.recentOrders[instanceOf(action)] = now + a.cooldown()
	}
	var r recentRecord
	for name, until := range a.recentOrders {
		if until <= now {
			delete(a.recentOrders, name)
			continue
		}
		r.Names = append(r.Names, name)
		r.Rests = append(r.Rests, until-now)
	}
	return a.append(ctx, recentKey, r)
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

// recordAnswer shortens the cooldown of an instance whose order can no longer be carried out later.
func (a *Autoscaler) recordAnswer(now time.Duration, instance string) {
	a.recentOrders[instance] = min(a.recentOrders[instance], now+a.config.HolderCooldown)
}

// RecentlyOrdered returns the recently ordered instances that a record of the autoscaler's table names.
func RecentlyOrdered(r stream.Record) ([]string, error) {
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

func (a *Autoscaler) load(r stream.Record) {
	recent, err := recentOf(r)
	if err != nil {
		a.config.Logger.Error("could not decode a stored record", zap.Error(err))
	}
	for i, name := range recent.Names {
		a.inheritedCooldowns[name] = recent.cooldown(i, a.cooldown())
	}
	if !strings.HasPrefix(r.Key, wavePrefix) || len(r.Value) == 0 {
		return
	}
	var w waveRecord
	if err := cbor.Unmarshal(r.Value, &w); err != nil {
		a.config.Logger.Error("could not decode a stored wave", zap.String("key", r.Key), zap.Error(err))
		return
	}
	a.stored[w.Number] = w.Done
	a.done[w.Number] = len(w.Done)
	a.finished[w.Number] = w.Finished
}

// addWave adds a wave to the planner and publishes that the wave is running, unless its end is published. A wave that has
// ended without some of its instances goes on if one of them is back.
func (a *Autoscaler) addWave(ctx context.Context, now time.Duration, w catalog.Wave) {
	if a.planner.HasWave(w.Number) {
		return
	}
	a.planner.AddWave(now, w, a.stored[w.Number])
	if !a.finished[w.Number] {
		a.publish(ctx, w.Number, false)
	}
}

func (a *Autoscaler) publish(ctx context.Context, number int, done bool) bool {
	r, err := a.config.Codec.WaveStatus(number, done)
	if err == nil {
		_, err = a.config.Log.Append(ctx, a.config.Status, []stream.Record{r}, nil)
	}
	if err != nil {
		a.config.Logger.Warn("could not publish the status of a wave", zap.Int("wave", number), zap.Error(err))
		return false
	}
	a.config.Logger.Info("wave status published", zap.Int("wave", number), zap.Bool("done", done))
	return true
}

// report stores the progress of the waves and publishes the end of those that are complete, or that one goes on.
func (a *Autoscaler) report(ctx context.Context) error {
	for _, number := range a.planner.Waves() {
		progress := a.planner.Progress(number)
		changed := len(progress.Done) > a.done[number]
		finished := a.finished[number]
		if (!finished && progress.Complete || finished && progress.Returned) && a.publish(ctx, number, !finished) {
			a.finished[number] = !finished
			changed = true
		}
		if !changed {
			continue
		}
		if err := a.store(ctx, waveRecord{Number: number, Done: progress.Done, Finished: a.finished[number]}); err != nil {
			return err
		}
		a.done[number], a.stored[number] = len(progress.Done), progress.Done
	}
	return nil
}

// store writes the progress of a wave; it ignores a postponed append, as the same progress is written again later.
func (a *Autoscaler) store(ctx context.Context, w waveRecord) error {
	err := a.append(ctx, fmt.Sprintf("%s%d", wavePrefix, w.Number), w)
	var postponed postponedError
	if errors.As(err, &postponed) {
		a.config.Logger.Warn("could not store the progress of a wave", zap.Int("wave", w.Number), zap.Error(err))
		return nil
	}
	return err
}

// postponedError reports a record that could not be stored now, but may be later.
type postponedError struct{ cause error }

func (e postponedError) Error() string { return "not stored yet: " + e.cause.Error() }

// append stores a record under the claim; it fails with a postponedError when the record could not be stored now. A
// record whose append got no answer is sent again first, under the same sequence number: had the log stored it, it would
// answer another record of that number without storing that one.
func (a *Autoscaler) append(ctx context.Context, key string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return errors.Annotate(err, key)
	}
	if a.unconfirmed != nil {
		if err := a.send(ctx, *a.unconfirmed); err != nil {
			return err
		}
	}
	asked := a.config.Clock.Moment().Steady
	if err := a.send(ctx, stream.Record{Key: key, Value: data}); err != nil {
		return err
	}
	a.recordProof(asked)
	return nil
}

// send appends a record under the next sequence number.
func (a *Autoscaler) send(ctx context.Context, r stream.Record) error {
	_, err := a.config.Log.Append(ctx, Table(), []stream.Record{r}, &a.writer)
	a.unconfirmed = nil
	var fenced stream.FencedError
	var sequence stream.SequenceError
	switch {
	case err == nil:
		a.writer.Sequence++
		return nil
	case errors.As(err, &fenced):
		return errors.Annotatef(err, "storing %s", r.Key)
	case errors.As(err, &sequence):
		a.writer.Sequence = sequence.Expected
	default:
		a.unconfirmed = &r
	}
	return postponedError{cause: err}
}
