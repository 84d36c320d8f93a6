package queue

import (
	"sort"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Class is the urgency of a request.
type Class string

// Classes of work.
const (
	Urgent    Class = "urgent"
	Overnight Class = "overnight"
)

// Item is one request that waits for a slot.
type Item struct {
	ID       uint64
	Team     id.Team
	Class    Class
	Arrived  time.Time
	Deadline time.Time // when the item expires
}

// Order is the order in which a WaitQueue serves its items.
type Order interface{ order() }

// FirstCome serves items of all teams in order of arrival.
type FirstCome struct{}

// Fair serves the team that uses the smallest fraction of its allocation, and within the team urgent work first.
type Fair struct{}

// DelayRatio serves the team that uses the smallest fraction of its allocation, and within the team the
// class whose oldest item has waited longest relative to the class's weight, so that waiting times keep
// the ratio of the weights.
type DelayRatio struct {
	Urgent    time.Duration
	Overnight time.Duration
}

func (FirstCome) order()  {}
func (Fair) order()       {}
func (DelayRatio) order() {}

// WaitQueue keeps one member's waiting items for one pool.
type WaitQueue struct {
	order Order
	teams map[id.Team]*teamItems
	size  int
}

// teamItems holds one team's items, each class in order of arrival.
type teamItems struct {
	urgent    []Item
	overnight []Item
}

func (w *teamItems) byClass(c Class) *[]Item {
	if c == Urgent {
		return &w.urgent
	}
	return &w.overnight
}

// NewWaitQueue returns an empty queue that serves in an order.
func NewWaitQueue(order Order) *WaitQueue {
	return &WaitQueue{order: order, teams: map[id.Team]*teamItems{}}
}

// Len returns how many items wait.
func (q *WaitQueue) Len() int { return q.size }

// Waiting returns how many items of a team wait.
func (q *WaitQueue) Waiting(team id.Team) int {
	w, ok := q.teams[team]
	if !ok {
		return 0
	}
	return len(w.urgent) + len(w.overnight)
}

// Oldest returns when the oldest waiting item of a team arrived and whether there is one.
func (q *WaitQueue) Oldest(team id.Team) (time.Time, bool) {
	w, ok := q.teams[team]
	if !ok || q.Waiting(team) == 0 {
		return time.Time{}, false
	}
	var oldest time.Time
	for _, items := range [][]Item{w.urgent, w.overnight} {
		if len(items) > 0 && (oldest.IsZero() || items[0].Arrived.Before(oldest)) {
			oldest = items[0].Arrived
		}
	}
	return oldest, true
}

// Teams returns the teams that have items waiting, in order.
func (q *WaitQueue) Teams() []id.Team {
	var teams []id.Team
	for team := range q.teams {
		if q.Waiting(team) > 0 {
			teams = append(teams, team)
		}
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

// Push inserts an item by its time of arrival, so that an item that is pushed again keeps its position.
func (q *WaitQueue) Push(item Item) {
	w, ok := q.teams[item.Team]
	if !ok {
		w = &teamItems{}
		q.teams[item.Team] = w
	}
	items := w.byClass(item.Class)
	at := sort.Search(len(*items), func(i int) bool { return (*items)[i].Arrived.After(item.Arrived) })
	*items = append(*items, Item{})
	copy((*items)[at+1:], (*items)[at:])
	(*items)[at] = item
	q.size++
}

// Remove removes an item from the queue and reports whether the queue contained it.
func (q *WaitQueue) Remove(item Item) bool {
	w, ok := q.teams[item.Team]
	if !ok {
		return false
	}
	items := w.byClass(item.Class)
	for i := range *items {
		if (*items)[i].ID == item.ID {
			*items = append((*items)[:i], (*items)[i+1:]...)
			q.size--
			return true
		}
	}
	return false
}

// RemoveExpired removes and returns the items whose deadline has passed.
func (q *WaitQueue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for _, team := range q.Teams() {
		w := q.teams[team]
		for _, items := range [][]Item{w.urgent, w.overnight} {
			for _, item := range items {
				if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
					expired = append(expired, item)
				}
			}
		}
	}
	for _, item := range expired {
		q.Remove(item)
	}
	return expired
}

// TeamUsage is a team's allocation and how much of it is in use.
type TeamUsage struct {
	Team    id.Team
	Running int // slots in use
	Slots   int // allocated slots
}

// Next removes and returns the item to serve next among the teams in usages; it reports false when
// none of these teams has an item waiting.
func (q *WaitQueue) Next(now time.Time, usages []TeamUsage) (Item, bool) {
	team, ok := q.nextTeam(usages)
	if !ok {
		return Item{}, false
	}
	w := q.teams[team]
	items := w.byClass(q.nextClass(now, w))
	item := (*items)[0]
	*items = (*items)[1:]
	q.size--
	return item, true
}

func (q *WaitQueue) nextTeam(usages []TeamUsage) (id.Team, bool) {
	var best TeamUsage
	found := false
	for _, usage := range usages {
		if q.Waiting(usage.Team) == 0 {
			continue
		}
		if !found || q.isServedBefore(usage, best) {
			best = usage
			found = true
		}
	}
	return best.Team, found
}

// isServedBefore reports whether team a is served before team b.
func (q *WaitQueue) isServedBefore(a, b TeamUsage) bool {
	if _, ok := q.order.(FirstCome); ok {
		x, _ := q.Oldest(a.Team)
		y, _ := q.Oldest(b.Team)
		return x.Before(y)
	}
	x := a.Running * max(1, b.Slots)
	y := b.Running * max(1, a.Slots)
	if x != y {
		return x < y
	}
	return a.Team < b.Team
}

func (q *WaitQueue) nextClass(now time.Time, w *teamItems) Class {
	switch {
	case len(w.urgent) == 0:
		return Overnight
	case len(w.overnight) == 0:
		return Urgent
	}
	urgent := now.Sub(w.urgent[0].Arrived)
	overnight := now.Sub(w.overnight[0].Arrived)
	switch order := q.order.(type) {
	case FirstCome:
		if overnight > urgent {
			return Overnight
		}
	case DelayRatio:
		if overnight.Seconds()/order.Overnight.Seconds() > urgent.Seconds()/order.Urgent.Seconds() {
			return Overnight
		}
	}
	return Urgent
}
