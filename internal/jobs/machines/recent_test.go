package machines

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// recentLog keeps the newest record of each key of one table.
type recentLog struct {
	stream.Log
	next  int64
	items []stream.StoredRecord
}

func (l *recentLog) Append(_ context.Context, _ stream.Table, records []stream.Record, _ *stream.Writer) (int64, error) {
	first := l.next
	for _, r := range records {
		l.items = slices.DeleteFunc(l.items, func(k stream.StoredRecord) bool { return k.Key == r.Key })
		l.items = append(l.items, stream.StoredRecord{Record: r, Offset: l.next})
		l.next++
	}
	return first, nil
}

func (l *recentLog) Fence(context.Context, stream.Table, int64) error { return nil }

func (l *recentLog) Newest(context.Context, stream.Table, string) (stream.Page, error) {
	return stream.Page{Items: l.items, End: l.next}, nil
}

// TestCooldownAfterTwoTakeovers guards against a lost cooldown after two takeovers: the third holder still
// observes the cooldown of an instance that the first sent an order to, although the second has recorded orders since.
func TestCooldownAfterTwoTakeovers(t *testing.T) {
	ctx, log := context.Background(), &recentLog{}
	for i, instance := range []string{"m0", "m1", "m2"} {
		a := NewAutoscaler(AutoscalerConfig{Log: log, Clock: steady.Clock{}, Logger: zap.NewNop(), HolderCooldown: 3 * time.Second})
		if err := a.takeOver(ctx); err != nil {
			t.Fatal(err)
		}
		now := a.config.Clock.Moment().Steady
		for _, earlier := range []string{"m0", "m1"}[:i] {
			if a.planner.cooldownUntil[earlier] < now+2*time.Second {
				t.Errorf("holder %d ignores the cooldown of %s", i, earlier)
			}
		}
		if err := a.record(ctx, now, []Action{MoveAction{Instance: instance}}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestCooldownIsNotRenewed guards against a cooldown that starts anew with every takeover: of successive holders, each
// passes on only the remaining time.
func TestCooldownIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, log := context.Background(), &recentLog{}
		clock := bubbleClock{began: time.Now()}
		began := clock.Moment().Steady
		for i, instance := range []string{"m0", "m1", "m2", "m3"} {
			a := NewAutoscaler(AutoscalerConfig{Log: log, Clock: clock, Logger: zap.NewNop(), HolderCooldown: 3 * time.Second})
			if err := a.takeOver(ctx); err != nil {
				t.Fatal(err)
			}
			if till := a.planner.cooldownUntil["m0"]; till > began+a.cooldown() {
				t.Errorf("holder %d extends the cooldown of m0 by %v", i, till-began-a.cooldown())
			}
			if err := a.record(ctx, clock.Moment().Steady, []Action{MoveAction{Instance: instance}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			a.recordAnswer(clock.Moment().Steady, instance)
			if err := a.record(ctx, clock.Moment().Steady, []Action{MoveAction{Instance: "m9"}}); err != nil {
				t.Fatal(err)
			}
		}
		if names, err := RecentlyOrdered(log.items[len(log.items)-1].Record); err != nil || slices.Contains(names, "m0") {
			t.Errorf("the log names %v, error %v", names, err)
		}
	})
}
