package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Bounds of a small deployment, as the pages set them for Tambuli Balat.
const (
	contactTime  = 3 * time.Second
	configTime   = 2 * time.Second
	cancelTime   = 3 * time.Second
	visibleTime  = 3 * time.Second
	stopTime     = 900 * time.Millisecond
	gangTime     = 3 * time.Second
	earlyTime    = 250 * time.Millisecond
	holdMax      = 10 * time.Second
	moveTime     = 1500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	heartbeat    = 1500 * time.Millisecond
	finishTime   = 14 * time.Second
	excessFactor = 1.1
)

// world holds what all stand-ins share: one clock, the record of what was seen, and the broken rules.
type world struct {
	began  time.Time
	random *rand.Rand

	mu      sync.Mutex // guards all below, and the state of the workers and the machines
	record  *os.File
	broken  []string
	jobs    map[string]*job
	tenants map[string]*tenant
	fleet   *fleet
	store   *store
	nodes   []*node
}

func newWorld(record *os.File, seed uint64) *world {
	w := &world{
		began: time.Now(), random: rand.New(rand.NewPCG(seed, 54)), record: record,
		jobs: map[string]*job{}, tenants: map[string]*tenant{},
	}
	w.store = newStore(w)
	w.fleet = &fleet{world: w}
	return w
}

// now returns the time since the start.
func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line to the record. The caller holds the lock.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%9.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// say is note for a caller that does not hold the lock.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// broke records a broken rule. The caller holds the lock.
func (w *world) broke(rule, format string, args ...any) {
	line := "BROKEN " + rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, line)
	w.note("%s", line)
}
