package queue

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestNextFollowsOrder(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	items := []Item{
		{ID: 1, Team: "a", Class: Overnight, Arrived: at(0)},
		{ID: 2, Team: "b", Class: Urgent, Arrived: at(1)},
		{ID: 3, Team: "a", Class: Urgent, Arrived: at(2)},
	}
	usages := []TeamUsage{{Team: "a", Running: 0, Slots: 4}, {Team: "b", Running: 3, Slots: 4}}
	tests := []struct {
		name  string
		order Order
		now   time.Time
		want  []uint64
	}{
		{"first come", FirstCome{}, at(3), []uint64{1, 2, 3}},
		{"fair: urgent first within a team", Fair{}, at(3), []uint64{3, 1, 2}},
		{"delay ratio: urgent first while its wait is longer relative to its weight", DelayRatio{Urgent: time.Second, Overnight: 10 * time.Second}, at(3), []uint64{3, 1, 2}},
		{"delay ratio: overnight first when its wait is longer relative to its weight", DelayRatio{Urgent: 10 * time.Second, Overnight: time.Second}, at(3), []uint64{1, 3, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewWaitQueue(tt.order)
			for _, item := range items {
				q.Push(item)
			}
			for _, want := range tt.want {
				got, ok := q.Next(tt.now, usages)
				if !ok || got.ID != want {
					t.Fatalf("Next() = %d %t, want %d", got.ID, ok, want)
				}
			}
		})
	}
}

func TestItemPushedAgainKeepsPosition(t *testing.T) {
	q := NewWaitQueue(Fair{})
	q.Push(Item{ID: 1, Team: "a", Class: Urgent, Arrived: start})
	q.Push(Item{ID: 2, Team: "a", Class: Urgent, Arrived: start.Add(time.Second)})
	usages := []TeamUsage{{Team: "a", Slots: 1}}
	first, _ := q.Next(start, usages)
	q.Push(first)
	if again, _ := q.Next(start, usages); again.ID != first.ID {
		t.Errorf("item %d was served before item %d, which was pushed again", again.ID, first.ID)
	}
}

func TestExpiredRemovesItems(t *testing.T) {
	q := NewWaitQueue(Fair{})
	q.Push(Item{ID: 1, Team: "a", Class: Urgent, Arrived: start, Deadline: start.Add(time.Second)})
	q.Push(Item{ID: 2, Team: "a", Class: Overnight, Arrived: start})
	expired := q.RemoveExpired(start.Add(time.Second))
	if len(expired) != 1 || expired[0].ID != 1 || q.Len() != 1 {
		t.Errorf("RemoveExpired() = %v with %d items left, want item 1 with 1 item left", expired, q.Len())
	}
}

func BenchmarkNext(b *testing.B) {
	q := NewWaitQueue(DelayRatio{Urgent: time.Second, Overnight: 20 * time.Second})
	var usages []TeamUsage
	for n := range 65 {
		team := id.Team(rune('A' + n))
		usages = append(usages, TeamUsage{Team: team, Slots: 10, Running: n % 10})
		for k := range 100 {
			q.Push(Item{ID: uint64(n*100 + k), Team: team, Class: Urgent, Arrived: start})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		item, _ := q.Next(start, usages)
		q.Push(item)
	}
}
