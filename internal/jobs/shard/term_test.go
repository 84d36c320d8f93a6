package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestInherited tells owners that have surely stopped, and settled before, from those that may give orders yet.
func TestInherited(t *testing.T) {
	const settled, lease, whole = 12 * time.Second, 4660 * time.Millisecond, 8660 * time.Millisecond
	type reign struct {
		holder string
		lasts  time.Duration
		end    string // stops, is killed, is cut off, stops with a batch that got lost, or stops when it has a successor
	}
	tests := []struct {
		name   string
		before []reign
		from   time.Duration // the wait of the next owner, b
		to     time.Duration
	}{
		{"nobody's", nil, whole, whole},
		{"handed over", []reign{{"a", settled, "stops"}}, lease, lease},
		{"handed over while a batch got lost", []reign{{"a", settled, "loses"}}, lease, lease},
		{"claimed", []reign{{"a", settled, "is cut off"}}, whole, whole},
		{"its own before it started", []reign{{"b", settled, "is killed"}}, lease, lease},
		{"its own for a moment before it started", []reign{{"a", settled, "is cut off"}, {"b", time.Second, "is killed"}}, whole, whole},
		{"another's before it started", []reign{{"a", settled, "is killed"}}, whole, whole},
		{"claimed back", []reign{{"b", settled, "is killed"}, {"a", settled, "is killed"}}, whole, whole},
		{"handed over too soon", []reign{{"a", settled, "is cut off"}, {"c", time.Second, "stops"}}, 7600 * time.Millisecond, 7700 * time.Millisecond},
		{"handed over in a row", []reign{
			{"a", settled, "is cut off"}, {"c", time.Second, "stops"}, {"d", time.Second, "stops"}, {"e", 3 * time.Second, "stops"},
		}, lease, lease},
		{"handed over after it was claimed", []reign{{"a", settled, "hears late"}}, whole, whole},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Second) // until all goroutines have ended
				defer cancel()
				log, p := newFakeLog(), newPlaces("w")
				for _, r := range test.before {
					s := newStand(log, p, "w")
					during, stop := context.WithCancel(ctx)
					defer stop()
					o := start(during, s.shard(r.holder))
					time.Sleep(r.lasts)
					switch r.end {
					case "is cut off":
						s.cutOff()
						continue
					case "is killed":
						s.kill()
					case "loses":
						s.refuseNext(1)
						go func() { _ = o.shard.Submit(during, longJob()) }()
						time.Sleep(2 * logWay)
					case "hears late":
						start(ctx, newStand(log, p, "w").shard("c"))
						time.Sleep(100 * time.Millisecond)
					}
					stop()
					t.Log(<-o.err)
				}
				next := newStand(log, p, "w").shard("b")
				start(ctx, next)
				<-next.started
				if wait := next.inherited(); wait < test.from || wait > test.to {
					t.Errorf("waits for %v", wait)
				}
			})
		})
	}
}

// TestNothingIsOrderedBeforeTheTerm keeps the log from the batch with an owner's term: no worker hears of the owner.
func TestNothingIsOrderedBeforeTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // until all goroutines have ended
		defer cancel()
		p := newPlaces("w")
		s := newStand(newFakeLog(), p, "w")
		next := s.shard("a")
		start(ctx, next)
		<-next.started
		s.refuseNext(20)
		time.Sleep(900 * time.Millisecond)
		p.mu.Lock()
		early := p.workers["w"].fence
		p.mu.Unlock()
		time.Sleep(time.Second)
		p.mu.Lock()
		late := p.workers["w"].fence
		p.mu.Unlock()
		if early != 0 || late == 0 {
			t.Errorf("the worker has heard of fence %d, then of %d", early, late)
		}
	})
}
