package intake

import "time"

// bodyID identifies the body of one call.
type bodyID int64

// bodyState is what is known of a body whose call has not ended.
type bodyState struct {
	held     int64         // bytes charged to the budget
	progress time.Duration // when bytes last arrived
	complete bool          // read to its end, so that it waits for nothing from its client
	evicted  bool
}

// bodies is the table of the bodies in flight of one listener. It decides which bodies make room for others.
type bodies struct {
	states    map[bodyID]*bodyState
	next      bodyID
	awaited   int64 // bytes that arrived and wait for room
	releasing int64 // bytes of evicted bodies whose calls have not ended yet
}

func newBodies() *bodies { return &bodies{states: map[bodyID]*bodyState{}} }

func (b *bodies) add(now time.Duration) bodyID {
	b.next++
	b.states[b.next] = &bodyState{progress: now}
	return b.next
}

// recordProgress records that bytes of a body arrived.
func (b *bodies) recordProgress(id bodyID, now time.Duration) { b.states[id].progress = now }

// recordCharge records bytes that were charged to the budget for a body.
func (b *bodies) recordCharge(id bodyID, n int64) {
	s := b.states[id]
	s.held += n
	if s.evicted {
		b.releasing += n
	}
}

// recordEnd records that a body was read to its end.
func (b *bodies) recordEnd(id bodyID) { b.states[id].complete = true }

// remove removes a body whose call has ended and returns the bytes that it held.
func (b *bodies) remove(id bodyID) int64 {
	s := b.states[id]
	delete(b.states, id)
	if s.evicted {
		b.releasing -= s.held
	}
	return s.held
}

// makeRoom records that n bytes of a body wait for room and returns the bodies to evict: as few as hold all that is waited for,
// those first that have stalled for longest. It chooses neither the waiting body nor one that is complete, since the call of a
// complete body may already have taken effect.
func (b *bodies) makeRoom(waiting bodyID, n int64) []bodyID {
	b.awaited += n
	var evicted []bodyID
	for b.releasing < b.awaited {
		id, ok := b.longestStalled(func(id bodyID, s *bodyState) bool { return id != waiting && s.held > 0 })
		if !ok {
			break
		}
		b.evict(id)
		evicted = append(evicted, id)
	}
	return evicted
}

// evictLongestStalled evicts the body that has stalled for longest, whatever it holds, and reports whether there is one.
func (b *bodies) evictLongestStalled() (bodyID, bool) {
	id, ok := b.longestStalled(func(bodyID, *bodyState) bool { return true })
	if ok {
		b.evict(id)
	}
	return id, ok
}

func (b *bodies) evict(id bodyID) {
	s := b.states[id]
	s.evicted = true
	b.releasing += s.held
}

// stopWaiting records that n bytes no longer wait for room.
func (b *bodies) stopWaiting(n int64) { b.awaited -= n }

// longestStalled returns the body that has stalled for longest of those that are neither complete nor evicted and that may be evicted.
func (b *bodies) longestStalled(mayEvict func(bodyID, *bodyState) bool) (bodyID, bool) {
	var found bodyID
	var oldest *bodyState
	for id, s := range b.states {
		if s.complete || s.evicted || !mayEvict(id, s) {
			continue
		}
		if oldest == nil || s.progress < oldest.progress || s.progress == oldest.progress && id < found {
			found, oldest = id, s
		}
	}
	return found, oldest != nil
}
