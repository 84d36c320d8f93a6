package shard

import (
	"time"

	"go.uber.org/zap"
)

// behindThreshold is the age of an event from which an owner counts as behind.
const behindThreshold = 200 * time.Millisecond

// TimingObserver receives how long the parts of an owner's work take, for metrics.
type TimingObserver interface {
	ObserveDuration(part string, took time.Duration)
}

// Parts of an owner's work.
const (
	iterationPart = "turn"   // one iteration of the control thread
	eventPart     = "event"  // from queueing an event until the control thread handles it
	logPart       = "log"    // from queueing a batch until its outcome is applied
	sendPart      = "send"   // from deciding on an order until it is sent
	startPart     = "start"  // from sending a start order until its outcome is applied
	intakePart    = "intake" // age of the view of the intake on which a start was decided, when it is sent
)

// loopStats holds statistics of an owner's control loop since the last status line. Only the control thread uses it.
type loopStats struct {
	observer TimingObserver
	sample
}

// sample holds the statistics of one period.
type sample struct {
	iterations, events, batches, starts, orders int

	busy             time.Duration // total time of the iterations
	longestIteration time.Duration
	oldestEvent      time.Duration // longest wait of an event for the control thread
	longestWrite     time.Duration // longest time from queueing a batch until its outcome was applied
	longestSend      time.Duration // longest time from deciding on an order until it was sent
	longestStart     time.Duration // longest time from sending a start order until its outcome was applied
	oldestIntake     time.Duration // oldest view of the intake on which a start that was sent was decided
}

func newLoopStats(o TimingObserver) *loopStats {
	if o == nil {
		o = noopTimingObserver{}
	}
	return &loopStats{observer: o}
}

// noopTimingObserver discards all measurements.
type noopTimingObserver struct{}

func (noopTimingObserver) ObserveDuration(string, time.Duration) {}

func (p *loopStats) recordIteration(took time.Duration) {
	p.iterations++
	p.busy += took
	p.longestIteration = max(p.longestIteration, took)
	p.observer.ObserveDuration(iterationPart, took)
}

func (p *loopStats) recordEvent(age time.Duration) {
	p.events++
	p.oldestEvent = max(p.oldestEvent, age)
	p.observer.ObserveDuration(eventPart, age)
}

func (p *loopStats) recordWrite(took time.Duration) {
	p.batches++
	p.longestWrite = max(p.longestWrite, took)
	p.observer.ObserveDuration(logPart, took)
}

func (p *loopStats) recordOrder(start bool, sendDelay, answerDelay time.Duration) {
	p.orders++
	p.longestSend = max(p.longestSend, sendDelay)
	p.observer.ObserveDuration(sendPart, sendDelay)
	if start {
		p.starts++
		p.longestStart = max(p.longestStart, answerDelay)
		p.observer.ObserveDuration(startPart, answerDelay)
	}
}

// recordIntakeAge records how old the view of the intake on which a start was decided is when the start is sent.
func (p *loopStats) recordIntakeAge(age time.Duration) {
	p.oldestIntake = max(p.oldestIntake, age)
	p.observer.ObserveDuration(intakePart, age)
}

// reset returns the statistics since the last call and starts a new period.
func (p *loopStats) reset() sample {
	previous := p.sample
	p.sample = sample{}
	return previous
}

func (b *sample) fields() []zap.Field {
	return []zap.Field{
		zap.Int("turns", b.iterations), zap.Int("events", b.events), zap.Int("batches", b.batches), zap.Int("starts", b.starts),
		zap.Int("orders", b.orders), zap.Duration("turns_took", b.busy), zap.Duration("longest_turn", b.longestIteration),
		zap.Duration("oldest_event", b.oldestEvent), zap.Duration("longest_write", b.longestWrite), zap.Duration("longest_send", b.longestSend),
		zap.Duration("longest_start", b.longestStart), zap.Duration("oldest_intake", b.oldestIntake),
	}
}
