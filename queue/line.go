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

// Order is the order in which a line serves its items.
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

// Line keeps one member's waiting items for one pool.
type Line struct {
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

// NewLine returns an empty line that serves in an order.
func NewLine(order Order) *Line {
	return &Line{order: order, teams: map[id.Team]*teamItems{}}
}

// Len returns how many items wait.
func (l *Line) Len() int { return l.size }

// Waiting returns how many items of a team wait.
func (l *Line) Waiting(team id.Team) int {
	w, ok := l.teams[team]
	if !ok {
		return 0
	}
	return len(w.urgent) + len(w.overnight)
}

// Oldest returns when the oldest waiting item of a team arrived and whether there is one.
func (l *Line) Oldest(team id.Team) (time.Time, bool) {
	w, ok := l.teams[team]
	if !ok || l.Waiting(team) == 0 {
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
func (l *Line) Teams() []id.Team {
	var teams []id.Team
	for team := range l.teams {
		if l.Waiting(team) > 0 {
			teams = append(teams, team)
		}
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i] < teams[j] })
	return teams
}

// Push inserts an item by its time of arrival, so that an item that is pushed again keeps its position.
func (l *Line) Push(item Item) {
	w, ok := l.teams[item.Team]
	if !ok {
		w = &teamItems{}
		l.teams[item.Team] = w
	}
	items := w.byClass(item.Class)
	at := sort.Search(len(*items), func(i int) bool { return (*items)[i].Arrived.After(item.Arrived) })
	*items = append(*items, Item{})
	copy((*items)[at+1:], (*items)[at:])
	(*items)[at] = item
	l.size++
}

// Remove removes an item from the line and reports whether the line contained it.
func (l *Line) Remove(item Item) bool {
	w, ok := l.teams[item.Team]
	if !ok {
		return false
	}
	items := w.byClass(item.Class)
	for i := range *items {
		if (*items)[i].ID == item.ID {
			*items = append((*items)[:i], (*items)[i+1:]...)
			l.size--
			return true
		}
	}
	return false
}

// Expired removes and returns the items whose deadline has passed.
func (l *Line) Expired(now time.Time) []Item {
	var expired []Item
	for _, team := range l.Teams() {
		w := l.teams[team]
		for _, items := range [][]Item{w.urgent, w.overnight} {
			for _, item := range items {
				if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
					expired = append(expired, item)
				}
			}
		}
	}
	for _, item := range expired {
		l.Remove(item)
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
func (l *Line) Next(now time.Time, usages []TeamUsage) (Item, bool) {
	team, ok := l.nextTeam(usages)
	if !ok {
		return Item{}, false
	}
	w := l.teams[team]
	items := w.byClass(l.nextClass(now, w))
	item := (*items)[0]
	*items = (*items)[1:]
	l.size--
	return item, true
}

func (l *Line) nextTeam(usages []TeamUsage) (id.Team, bool) {
	var best TeamUsage
	found := false
	for _, usage := range usages {
		if l.Waiting(usage.Team) == 0 {
			continue
		}
		if !found || l.isServedBefore(usage, best) {
			best = usage
			found = true
		}
	}
	return best.Team, found
}

// isServedBefore reports whether team a is served before team b.
func (l *Line) isServedBefore(a, b TeamUsage) bool {
	if _, ok := l.order.(FirstCome); ok {
		x, _ := l.Oldest(a.Team)
		y, _ := l.Oldest(b.Team)
		return x.Before(y)
	}
	x := a.Running * max(1, b.Slots)
	y := b.Running * max(1, a.Slots)
	if x != y {
		return x < y
	}
	return a.Team < b.Team
}

func (l *Line) nextClass(now time.Time, w *teamItems) Class {
	switch {
	case len(w.urgent) == 0:
		return Overnight
	case len(w.overnight) == 0:
		return Urgent
	}
	urgent := now.Sub(w.urgent[0].Arrived)
	overnight := now.Sub(w.overnight[0].Arrived)
	switch order := l.order.(type) {
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
