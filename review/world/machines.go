package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const moveTime = 1500 * time.Millisecond

// machine is a machine of the workers.
type machine struct {
	name, pool, zone, rack string
	kind                   string // a label of its workers
	moving                 bool
	down                   bool
	worker                 *worker // nil while the machine is spare or moving
}

// startWorker starts a worker on a machine unless it is spare; the caller holds the lock.
func (w *world) startWorker(m *machine) {
	m.moving = false
	if m.pool == sparePool {
		return
	}
	k, err := w.newWorker(m)
	if err != nil {
		w.note("a worker could not start: %v", err)
		return
	}
	m.worker = k
}

// machinesHandler is the platform's service of machines.
func (w *world) machinesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.listMachines)
	mux.HandleFunc("POST /machine-move", w.moveMachine)
	return mux
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []map[string]any{}
	for _, m := range w.machines {
		entry := map[string]any{
			"machine": m.name, "pool": m.pool, "state": "up", "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": resources(workerCPU, workerMemMB), "id": "",
		}
		if m.moving {
			entry["state"] = "moving"
		}
		if m.down {
			entry["state"] = "down"
		}
		if m.worker != nil {
			entry["id"] = m.worker.id
		}
		list = append(list, entry)
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": list, "next_token": nil})
}

func (w *world) moveMachine(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.name != b.Machine {
			continue
		}
		if m.moving || m.down {
			rw.WriteHeader(http.StatusConflict)
			_, _ = rw.Write([]byte(`{"reason":"busy"}`))
			return
		}
		if m.pool != b.Pool {
			m.pool, m.moving = b.Pool, true
			if m.worker != nil {
				m.worker.leave()
				m.worker = nil
			}
			time.AfterFunc(moveTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.startWorker(m)
			})
		}
		_, _ = rw.Write([]byte(`{}`))
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// crash ends the workers of some machines at one moment and without notice. Their entries are removed after three
// heartbeats, and other workers start on the machines after the given time.
func (w *world) crash(list []*machine, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var crashed []*worker
	for _, m := range list {
		if k := m.worker; k != nil {
			crashed = append(crashed, k)
			m.worker, m.down = nil, true
			k.mu.Lock()
			k.over = true
			k.mu.Unlock()
		}
	}
	for _, k := range crashed {
		w.note("worker %s of %s on rack %s crashes", k.id, k.pool, k.rack)
		k.terminate()
		time.AfterFunc(3*heartbeat, func() { w.store.put("servers", k.id, nil) })
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range list {
			m.down = false
			w.startWorker(m)
		}
	})
}
