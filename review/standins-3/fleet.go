package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// machine is a machine of the platform; its worker changes with each move and upkeep.
type machine struct {
	world       *world
	name        string
	addr        string
	zone        string
	kind        string
	rack        string
	cpu, memory int
	pool        string
	state       string // up, moving, upkeep, down
	worker      *worker
	upkept      map[int]bool
}

// fleet is the stand-in for the machines of the platform, its workers and the service for advice.
type fleet struct {
	world    *world
	machines []*machine
	spare    string
	lives    int
	waves    map[int]*wave
	advising sync.Mutex
	allowed  func(step, worker string) bool
}

type wave struct {
	cap      int
	machines map[string]bool
}

type machineConfig struct {
	zone, kind, rack, pool string
	cpu, memory            int
}

func (f *fleet) add(c machineConfig) error {
	m := &machine{
		world: f.world, name: fmt.Sprintf("m-%d", len(f.machines)), zone: c.zone, kind: c.kind, rack: c.rack, cpu: c.cpu, memory: c.memory,
		pool: c.pool, state: "up", upkept: map[int]bool{},
	}
	address, err := serveOn(http.HandlerFunc(m.serveWorker))
	if err != nil {
		return err
	}
	m.addr = address
	f.machines = append(f.machines, m)
	if m.pool != f.spare {
		f.world.mu.Lock()
		m.startWorker()
		f.world.mu.Unlock()
	}
	return nil
}

// startWorker begins a new life on a machine; the caller holds the lock.
func (m *machine) startWorker() {
	f := m.world.fleet
	f.lives++
	m.startAs(fmt.Sprintf("i-%04d", f.lives))
}

// startAs begins a new life under an id; the caller holds the lock.
func (m *machine) startAs(id string) {
	w := &worker{
		world: m.world, machine: m, id: id, addr: m.addr, backend: m.pool, born: time.Now(), started: m.world.now() - time.Second,
		runs: map[string]*run{}, barred: map[string]int{}, tickets: map[string]bool{},
	}
	w.mode.Store(workerMode{})
	m.worker, m.state = w, "up"
	m.world.note("%s: worker %s of %s begins", m.name, id, m.pool)
	w.beat()
}

// endWorker ends a life, with or without taking its entry away; the caller holds the lock.
func (m *machine) endWorker(removes bool) {
	w := m.worker
	if w == nil {
		return
	}
	w.dead = true
	for _, r := range w.all() {
		w.finish(r, "lost")
	}
	m.worker = nil
	if removes {
		m.world.store.put("servers", w.id, nil)
	}
}

func (w *worker) entry(state string) map[string]any {
	m := w.machine
	return map[string]any{
		"backend": w.backend, "addr": w.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "machine": m.name,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memory, "gpu": 0}, "labels": []string{m.kind, m.rack}, "clock_ms": w.clock(),
		"born": w.born.UnixMilli(), "sequence": w.beats,
	}
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.beats++
	w.world.store.put("servers", w.id, w.entry("ready"))
}

// run ticks all workers and writes their entries until the world ends.
func (f *fleet) run(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	beats := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		f.world.mu.Lock()
		due := time.Since(beats) >= heartbeat
		if due {
			beats = time.Now()
		}
		for _, m := range f.machines {
			if m.worker == nil {
				continue
			}
			m.worker.tick()
			if due {
				m.worker.beat()
			}
		}
		f.world.mu.Unlock()
	}
}

func (f *fleet) byName(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (f *fleet) serveCloud(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if r.URL.Path == "/machines" {
		f.list(w)
		return
	}
	var b struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	_ = json.Unmarshal(data, &b)
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	m := f.byName(b.Machine)
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Marigoldshed-Lease-Holder") + " " + r.Header.Get("Marigoldshed-Fencing-Token")
	if r.URL.Path == "/machine-move" {
		f.move(w, m, b.Pool, holder)
		return
	}
	f.upkeep(w, m, b.Wave, holder)
}

func (f *fleet) move(w http.ResponseWriter, m *machine, pool, holder string) {
	if m.pool == pool && m.state != "down" {
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	f.world.note("%s moves to %s (%s)", m.name, pool, holder)
	m.endWorker(true)
	m.pool, m.state = pool, "moving"
	go m.comeBack(moveTime)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (m *machine) comeBack(after time.Duration) {
	time.Sleep(after)
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.state = "up"
	if m.pool != m.world.fleet.spare {
		m.startWorker()
	}
}

func (f *fleet) upkeep(w http.ResponseWriter, m *machine, number int, holder string) {
	of := f.waves[number]
	switch {
	case of == nil || !of.machines[m.name]:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "wave"})
		return
	case m.upkept[number]:
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	case m.state != "up":
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	down := 0
	for name := range of.machines {
		if f.byName(name).state == "upkeep" {
			down++
		}
	}
	if down >= of.cap {
		f.world.broke("LIMIT", "the upkeep of %s begins while %d machines of wave %d are down, %d at most", m.name, down, number, of.cap)
	}
	f.world.note("%s goes down for wave %d (%s)", m.name, number, holder)
	m.endWorker(true)
	m.state, m.upkept[number] = "upkeep", true
	go m.comeBack(upkeepTime)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (f *fleet) list(w http.ResponseWriter) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range f.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memory, "gpu": 0}, "id": id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// Figures of the service for advice.
const (
	decideTime = 50 * time.Millisecond
	eachTime   = 5 * time.Millisecond
	ticketTime = 3 * time.Second
)

func (f *fleet) serveAdvice(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	f.advising.Lock()
	time.Sleep(decideTime + time.Duration(len(b.Workers))*eachTime)
	f.advising.Unlock()
	f.world.mu.Lock()
	good := [][2]string{}
	for _, m := range f.machines {
		if m.worker == nil || !strings.Contains(" "+strings.Join(b.Workers, " ")+" ", " "+m.worker.id+" ") {
			continue
		}
		if f.allowed == nil || f.allowed(b.Step, m.worker.id) {
			ticket := fmt.Sprintf("t%d", f.world.now().Milliseconds())
			m.worker.tickets[b.Step+"/"+ticket] = true
			good = append(good, [2]string{m.worker.id, ticket})
		}
	}
	f.world.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}
