package shard

import (
	"time"

	"go.uber.org/zap"
)

// behind is the age of an event at which an owner counts as behind.
const behind = 200 * time.Millisecond

// Watch is told how long the parts of an owner's work take, for metrics.
type Watch interface {
	Took(part string, took time.Duration)
}

// Parts of an owner's work.
const (
	turnPart  = "turn"  // one round of the control thread
	eventPart = "event" // from the time at which something was there until the control thread took it up
	logPart   = "log"   // from handing a batch over until its outcome was taken in
	sendPart  = "send"  // from the decision of an order until it was sent
	startPart = "start" // from sending a start until its outcome was taken in
)

// pulse measures an owner's own work between two lines on how it stands. It belongs to the control thread.
type pulse struct {
	watch Watch
	beat
}

// beat is what a pulse has measured.
type beat struct {
	turns, events, batches, starts, orders int

	busy    time.Duration // sum of the turns
	longest time.Duration // turn
	oldest  time.Duration // longest that an event has waited for the control thread
	log     time.Duration // longest time from handing a batch over until its outcome was taken in
	send    time.Duration // longest time from the decision of an order until it was sent
	answer  time.Duration // longest time from sending a start until its outcome was taken in
}

func newPulse(w Watch) *pulse {
	if w == nil {
		w = unwatched{}
	}
	return &pulse{watch: w}
}

// unwatched watches nothing.
type unwatched struct{}

func (unwatched) Took(string, time.Duration) {}

func (p *pulse) turn(took time.Duration) {
	p.turns++
	p.busy += took
	p.longest = max(p.longest, took)
	p.watch.Took(turnPart, took)
}

func (p *pulse) event(age time.Duration) {
	p.events++
	p.oldest = max(p.oldest, age)
	p.watch.Took(eventPart, age)
}

func (p *pulse) stored(took time.Duration) {
	p.batches++
	p.log = max(p.log, took)
	p.watch.Took(logPart, took)
}

func (p *pulse) order(start bool, unsent, unanswered time.Duration) {
	p.orders++
	p.send = max(p.send, unsent)
	p.watch.Took(sendPart, unsent)
	if start {
		p.starts++
		p.answer = max(p.answer, unanswered)
		p.watch.Took(startPart, unanswered)
	}
}

// take returns what was measured since the last call.
func (p *pulse) take() beat {
	taken := p.beat
	p.beat = beat{}
	return taken
}

func (b *beat) fields() []zap.Field {
	return []zap.Field{
		zap.Int("turns", b.turns), zap.Int("events", b.events), zap.Int("batches", b.batches), zap.Int("starts", b.starts),
		zap.Int("orders", b.orders), zap.Duration("turns_took", b.busy), zap.Duration("longest_turn", b.longest),
		zap.Duration("oldest_event", b.oldest), zap.Duration("longest_write", b.log), zap.Duration("longest_send", b.send),
		zap.Duration("longest_start", b.answer),
	}
}
