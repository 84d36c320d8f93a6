package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Gate applies limits to one listener and its handler.
type Gate struct {
	limits   Limits
	observer Observer
	budget   *semaphore.Weighted // bytes of bodies
	streams  *semaphore.Weighted // requests by streams of HTTP/2
	started  time.Time

	mu          sync.Mutex
	bodies      *bodies
	inFlight    map[bodyID]*body
	connections map[connID]*conn
	nextConn    connID
}

// NewGate returns a Gate with the given limits, which must be positive.
func NewGate(limits Limits, observer Observer) *Gate {
	return &Gate{
		limits: limits, observer: observer, budget: semaphore.NewWeighted(limits.BodyBytes),
		streams: semaphore.NewWeighted(int64(limits.Connections)), started: time.Now(),
		bodies: newBodies(), inFlight: map[bodyID]*body{}, connections: map[connID]*conn{},
	}
}

func (g *Gate) now() time.Duration { return time.Since(g.started) }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext adds a connection of the Gate's listener to a context; it is the ConnContext of the http.Server.
func (g *Gate) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// acquireStream takes a place among the requests by streams of HTTP/2, of which there may be as many as connections. Where there is none,
// it evicts the body that has stalled for longest and waits for a place.
func (g *Gate) acquireStream(ctx context.Context) bool {
	if g.streams.TryAcquire(1) {
		return true
	}
	g.mu.Lock()
	id, found := g.bodies.evictLongestStalled()
	victim := g.inFlight[id]
	g.mu.Unlock()
	if found {
		victim.reject()
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	return g.streams.Acquire(ctx, 1) == nil
}

// addBody adds the body of a call.
func (g *Gate) addBody(b *body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.id = g.bodies.add(g.now())
	g.inFlight[b.id] = b
}

// removeBody releases all that a body holds.
func (g *Gate) removeBody(b *body) {
	g.mu.Lock()
	held := g.bodies.remove(b.id)
	delete(g.inFlight, b.id)
	g.mu.Unlock()
	g.budget.Release(held)
	g.observer.BytesHeld(-held)
}

// charge charges n bytes of a body to the budget. Where there is no room, it evicts other bodies and waits for the end of their
// calls. It returns false if there is no room then either.
func (g *Gate) charge(ctx context.Context, b *body, n int64) bool {
	if !g.budget.TryAcquire(n) && !g.awaitRoom(ctx, b, n) {
		return false
	}
	g.mu.Lock()
	g.bodies.recordCharge(b.id, n)
	g.mu.Unlock()
	g.observer.BytesHeld(n)
	return true
}

// roomTimeout bounds the time for which the bytes of a body wait for room, so that its caller gets a rejection in time when all
// that is held belongs to calls that wait for the store.
const roomTimeout = time.Second

func (g *Gate) awaitRoom(ctx context.Context, b *body, n int64) bool {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	g.mu.Lock()
	var evicted []*body
	for _, id := range g.bodies.makeRoom(b.id, n) {
		evicted = append(evicted, g.inFlight[id])
	}
	g.mu.Unlock()
	for _, other := range evicted {
		other.reject()
	}
	err := g.budget.Acquire(ctx, n)
	g.mu.Lock()
	g.bodies.stopWaiting(n)
	g.mu.Unlock()
	return err == nil
}

func (g *Gate) recordProgress(b *body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies.recordProgress(b.id, g.now())
}

func (g *Gate) recordEnd(b *body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies.recordEnd(b.id)
}
