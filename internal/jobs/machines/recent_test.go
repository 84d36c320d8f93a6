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
	items []stream.Kept
}

func (l *recentLog) Append(_ context.Context, _ stream.Table, records []stream.Record, _ *stream.Writer) (int64, error) {
	first := l.next
	for _, r := range records {
		l.items = slices.DeleteFunc(l.items, func(k stream.Kept) bool { return k.Key == r.Key })
		l.items = append(l.items, stream.Kept{Record: r, Offset: l.next})
		l.next++
	}
	return first, nil
}

func (l *recentLog) Fence(context.Context, stream.Table, int64) error { return nil }

func (l *recentLog) Newest(context.Context, stream.Table, string) (stream.Page, error) {
	return stream.Page{Items: l.items, End: l.next}, nil
}

// TestHoldersInARow gives orders under one holder after the other: the last one leaves alone what the first has
// ordered about less than a turn ago, also when the second has given orders since.
func TestHoldersInARow(t *testing.T) {
	ctx, log := context.Background(), &recentLog{}
	for i, instance := range []string{"m0", "m1", "m2"} {
		k := NewKeeper(KeeperConfig{Log: log, Clock: steady.Clock{}, Logger: zap.NewNop(), Turn: 3 * time.Second})
		if err := k.takeOver(ctx); err != nil {
			t.Fatal(err)
		}
		now := k.config.Clock.Moment().Steady
		for _, earlier := range []string{"m0", "m1"}[:i] {
			if k.planner.cooldownUntil[earlier] < now+2*time.Second {
				t.Errorf("holder %d does not leave %s alone", i, earlier)
			}
		}
		if err := k.record(ctx, now, []Action{MoveAction{Instance: instance}}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRestIsPassedOnAsItIs has holders in a row that give one order each: what an early one has ordered about is left alone
// for what is left of its time, not for the whole of it again.
func TestRestIsPassedOnAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, log := context.Background(), &recentLog{}
		clock := bubbleClock{began: time.Now()}
		began := clock.Moment().Steady
		for i, instance := range []string{"m0", "m1", "m2", "m3"} {
			k := NewKeeper(KeeperConfig{Log: log, Clock: clock, Logger: zap.NewNop(), Turn: 3 * time.Second})
			if err := k.takeOver(ctx); err != nil {
				t.Fatal(err)
			}
			if till := k.planner.cooldownUntil["m0"]; till > began+k.cooldown() {
				t.Errorf("holder %d leaves m0 alone for %v too long", i, till-began-k.cooldown())
			}
			if err := k.record(ctx, clock.Moment().Steady, []Action{MoveAction{Instance: instance}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			k.recordAnswer(clock.Moment().Steady, instance)
			if err := k.record(ctx, clock.Moment().Steady, []Action{MoveAction{Instance: "m9"}}); err != nil {
				t.Fatal(err)
			}
		}
		if names, err := Recent(log.items[len(log.items)-1].Record); err != nil || slices.Contains(names, "m0") {
			t.Errorf("the log names %v, %v", names, err)
		}
	})
}
