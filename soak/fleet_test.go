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
	worker *worker // nil while it is off or on its way
	moving bool
}

// fleet holds the workers and is a stand-in for the instance service.
type fleet struct {
	store  *store
	ledger *ledger

	mu       sync.Mutex
	random   *rand.Rand
	serial   int
	machines []*machine
	lateness float64 // chance of an order to be carried out late, and of an answer to be lost
}

const (
	spare    = "spare"
	moveTime = 400 * time.Millisecond
)

func newFleet(t *testing.T, s *store, l *ledger, seed uint64) *fleet {
	t.Helper()
	f := &fleet{store: s, ledger: l, random: rand.New(rand.NewPCG(seed, 3))}
	for i := range 9 {
		m := &machine{name: fmt.Sprintf("m%d", i), pool: []string{"p1", "p2", spare}[i%3]}
		f.machines = append(f.machines, m)
		f.wake(t, m)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.machines {
			if m.worker != nil {
				m.worker.kill()
			}
		}
	})
	return f
}

// wake gives a machine a new worker if its pool is on; the caller holds the lock or is alone.
func (f *fleet) wake(t *testing.T, m *machine) {
	m.moving = false
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

func (f *fleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) late() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateness
}

func (f *fleet) setLate(l float64) {
	f.mu.Lock()
	f.lateness = l
	f.mu.Unlock()
}

// crash ends a random worker; its machine is back with another after a while.
func (f *fleet) crash(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[f.random.IntN(len(f.machines))]
	if m.worker == nil {
		return
	}
	f.drop(t, m, 2*time.Second)
}

// cut cuts a random worker off; it runs on until its lease is over.
func (f *fleet) cut() (undo func()) {
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

// bind leaves every other worker with the owners that it has heard of, as a cut between data centres does.
func (f *fleet) bind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, m := range f.machines {
		if m.worker != nil && n%2 == 0 {
			m.worker.bind()
		}
	}
}

func (f *fleet) unbind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			m.worker.unbind()
		}
	}
}

// drop ends the worker of a machine, which has another one after a time; the caller holds the lock.
func (f *fleet) drop(t *testing.T, m *machine, after time.Duration) {
	if m.worker != nil {
		m.worker.kill()
		f.store.put("servers", m.worker.id, nil)
		m.worker = nil
	}
	m.moving = true
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.wake(t, m)
	})
}

// handler answers for the instance service.
func (f *fleet) handler(t *testing.T) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		list := []map[string]any{}
		for _, m := range f.machines {
			entry := map[string]any{
				"machine": m.name, "pool": m.pool, "state": "up", "zone": "z1", "labels": []string{"a", "r1"}, "capacity": resources(workerCPU, workerMB),
			}
			if m.moving {
				entry["state"] = "moving"
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
			if m.moving {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"reason":"busy"}`))
				return
			}
			if m.pool != b.Pool {
				m.pool = b.Pool
				f.drop(t, m, moveTime)
			}
			_, _ = w.Write([]byte(`{}`))
			return
		}
		w.WriteHeader(http.StatusBadRequest)
	})
	return mux
}
