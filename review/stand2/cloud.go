package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// States of a machine.
const (
	up       = "up"
	moving   = "moving"
	inUpkeep = "upkeep"
	down     = "down"
)

// machine is a machine of the fleet.
type machine struct {
	name, pool, state, zone string
	worker                  *worker // nil while it has none
	upkeep                  bool    // its upkeep has begun
}

// cloud is a stand-in for the platform's service of machines.
type cloud struct {
	world    *world
	duration func(task string) time.Duration // of a task's run
	wave     []string                        // machines of wave 1

	mu       sync.Mutex
	machines []*machine
	serial   int
	isDown   bool            // every call is answered with 503
	cutZones map[string]bool // zones whose workers are cut off
}

func (c *cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil {
			m.worker.kill()
		}
	}
}

// add adds a machine, and starts its worker unless it is in the spare pool.
func (c *cloud) add(name, pool, zone string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{name: name, pool: pool, state: up, zone: zone}
	c.machines = append(c.machines, m)
	return c.startOn(m)
}

// startOn starts a new worker on a machine unless that is spare; the caller holds the lock.
func (c *cloud) startOn(m *machine) error {
	m.state = up
	if m.pool == spareName {
		return nil
	}
	c.serial++
	w, err := startWorker(c.world, "w-"+strconv.Itoa(c.serial), m.name, m.pool, m.zone, c.duration, c.cutZones[m.zone])
	m.worker = w
	return err
}

// setDown makes the service answer every call with 503, or ends that.
func (c *cloud) setDown(isDown bool) {
	c.mu.Lock()
	c.isDown = isDown
	c.mu.Unlock()
	c.world.note("the platform's service of machines is down: %v", isDown)
}

func (c *cloud) isUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDown
}

// workerWith returns the worker that has a run of a task, or nil.
func (c *cloud) workerWith(task string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil && m.worker.hasRun(task) {
			return m.worker
		}
	}
	return nil
}

// crash ends the worker of a machine without notice; another one is on the machine after a pause.
func (c *cloud) crash(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if w == nil || m.worker != w {
			continue
		}
		c.world.note("worker %s on %s crashes", w.id, m.name)
		m.worker, m.state = nil, down
		w.kill()
		time.AfterFunc(3*heartbeat, func() { c.world.store.put("servers", w.id, nil) })
		time.AfterFunc(crashPause, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if err := c.startOn(m); err != nil {
				c.world.note("cannot start a worker: %v", err)
			}
		})
	}
}

// use returns the capacity of the workers that is in use, the most that is free on one of them, and all of it.
func (c *cloud) use() (used, free, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == nil {
			continue
		}
		runs := m.worker.countRuns()
		used, all, free = used+1000*runs, all+workerCPU, max(free, workerCPU-1000*runs)
	}
	return used, free, all
}

// isDone reports whether a run of a task has ended done.
func (c *cloud) isDone(task string) bool {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	return c.world.done[task]
}

// cutZone cuts all workers of a zone off, or ends that.
func (c *cloud) cutZone(zone string, isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutZones = map[string]bool{zone: isCut}
	for _, m := range c.machines {
		if m.worker != nil && m.zone == zone {
			m.worker.setCut(isCut)
		}
	}
	c.world.note("zone %s is cut off: %v", zone, isCut)
}

func (c *cloud) find(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// ServeHTTP answers one call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.isUnavailable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/machines" {
		c.list(w)
		return
	}
	var b struct {
		Machine, Pool string
		Wave          int
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.order(r.URL.Path, b.Machine, b.Pool)
	c.world.note("order %s machine=%s pool=%s wave=%d by %s, fence %s: %d %s", r.URL.Path, b.Machine, b.Pool, b.Wave,
		r.Header.Get("Marigoldshed-Lease-Holder"), r.Header.Get("Marigoldshed-Fencing-Token"), status, reason)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
}

// list writes all machines.
func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		entry := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", "rack-" + m.zone}, "capacity": resources(workerCPU, workerMemMB),
		}
		if m.worker != nil {
			entry["id"] = m.worker.id
		}
		list = append(list, entry)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "next_token": ""})
}

// order carries out a move or an upkeep.
func (c *cloud) order(path, name, pool string) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(name)
	if m == nil {
		return http.StatusBadRequest, ""
	}
	isUpkeep := path == "/machine-upkeep"
	switch {
	case isUpkeep && !slices.Contains(c.wave, name):
		return http.StatusConflict, "wave"
	case isUpkeep && m.upkeep, !isUpkeep && m.pool == pool:
		return http.StatusOK, "" // done already
	case m.state != up:
		return http.StatusConflict, "busy"
	}
	after := moveTime
	m.state = moving
	if isUpkeep {
		after, m.state, m.upkeep = upkeepTime, inUpkeep, true
	} else {
		m.pool = pool
	}
	if w := m.worker; w != nil {
		m.worker = nil
		w.kill()
		time.AfterFunc(3*heartbeat, func() { c.world.store.put("servers", w.id, nil) })
	}
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.startOn(m); err != nil {
			c.world.note("cannot start a worker: %v", err)
		}
	})
	return http.StatusOK, ""
}
