package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// machine is an instance of the fleet.
type machine struct {
	name   string
	pool   string
	worker *worker // nil while the machine is spare, moving or down
	state  string  // up, moving or down
}

// fleet holds the workers and is a stand-in for the instance service.
type fleet struct {
	store   *store
	checker *checker
	t       *testing.T

	mu       sync.Mutex
	random   *rand.Rand
	serial   int
	machines []*machine
	lateRate float64 // probability that an order is handled late, and likewise that its answer is lost
}

const (
	spare        = "spare"
	moveDuration = 400 * time.Millisecond
	entryTTL     = 3 * heartbeat // from a worker's end until its entry is removed
)

// States of a machine.
const (
	up     = "up"
	moving = "moving"
	down   = "down"
)

// A move that is carried out is answered with a body or without one, or not at all; one of so many each.
const (
	emptyAnswerShare = 2
	lostAnswerShare  = 8
)

func newFleet(t *testing.T, s *store, c *checker, seed uint64) *fleet {
	t.Helper()
	f := &fleet{store: s, checker: c, t: t, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range 9 {
		m := &machine{name: fmt.Sprintf("m%d", i), pool: []string{"p1", "p2", spare}[i%3]}
		f.machines = append(f.machines, m)
		f.startWorker(t, m)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.machines {
			if m.worker != nil {
				m.worker.kill(false)
			}
		}
	})
	return f
}

// startWorker starts a worker on a machine unless it is spare; the caller holds the lock unless nothing else uses f yet.
func (f *fleet) startWorker(t *testing.T, m *machine) {
	m.state = up
	if m.pool == spare {
		return
	}
	w, err := f.newWorker(m.name, m.pool)
	if err != nil {
		t.Errorf("starting a worker: %v", err)
		return
	}
	m.worker = w
}

func (f *fleet) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) currentLateRate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateRate
}

func (f *fleet) setLateRate(rate float64) {
	f.mu.Lock()
	f.lateRate = rate
	f.mu.Unlock()
}

// crash kills a worker, whose machine gets a new one after 2 s.
func (f *fleet) crash(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker == w {
			f.replaceWorker(f.t, m, down, 2*time.Second)
		}
	}
}

// crashWorker kills the worker of a random machine, which gets a new one after 2 s.
func (f *fleet) crashWorker(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[f.random.IntN(len(f.machines))]
	if m.worker == nil {
		return
	}
	f.replaceWorker(t, m, down, 2*time.Second)
}

// cutWorker disconnects a random worker, whose tasks run until its lease expires.
func (f *fleet) cutWorker() (undo func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[f.random.IntN(len(f.machines))]
	if m.worker == nil {
		return func() {}
	}
	w := m.worker
	w.setCut(true)
	return func() { w.setCut(false) }
}

// blockNewOwners makes every second worker unreachable for owners with a higher fence than it has seen, as a network
// partition between data centres does.
func (f *fleet) blockNewOwners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, m := range f.machines {
		if m.worker != nil && n%2 == 0 {
			m.worker.blockNewOwners()
		}
	}
}

func (f *fleet) unblockNewOwners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			m.worker.unblockNewOwners()
		}
	}
}

// replaceWorker ends a machine's worker, if any, and starts a new one after a delay, during which the machine is in the given
// state; the caller holds the lock.
func (f *fleet) replaceWorker(t *testing.T, m *machine, state string, after time.Duration) {
	if w := m.worker; w != nil {
		w.kill(state == down)
		time.AfterFunc(entryTTL, func() { f.store.put("servers", w.id, nil) })
		m.worker = nil
	}
	m.state = state
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startWorker(t, m)
	})
}

// answerMove answers a move that was carried out, in one of the ways that the pages allow; the caller holds the lock.
func (f *fleet) answerMove(w http.ResponseWriter) {
	switch {
	case f.random.IntN(lostAnswerShare) == 0:
		closeConnection(w)
	case f.random.IntN(emptyAnswerShare) == 0:
		w.WriteHeader(http.StatusOK)
	default:
		_, _ = w.Write([]byte(`{}`))
	}
}

// handler returns the HTTP handler of the instance service.
func (f *fleet) handler(t *testing.T) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		list := []map[string]any{}
		for _, m := range f.machines {
			entry := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", "r1"}, "capacity": resources(workerCPU, workerMemMB),
			}
			if m.worker != nil {
				entry["id"] = m.worker.id
			}
			list = append(list, entry)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": ""})
	})
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Machine, Pool string }
		_ = json.NewDecoder(r.Body).Decode(&b)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.machines {
			if m.name != b.Machine {
				continue
			}
			if m.state != up {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"reason":"busy"}`))
				return
			}
			if m.pool != b.Pool {
				m.pool = b.Pool
				f.replaceWorker(t, m, moving, moveDuration)
			}
			f.answerMove(w)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
	})
	return mux
}
