package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// gangMember is one member of a gang that is present on a worker.
type gangMember struct {
	worker *worker
	task   string
	run    *taskRun
}

// gangKey names one run of a gang.
func gangKey(task string, run int) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], run)
}

// join adds a member to its gang. The gang works once all its members are present, and they end done together.
func (w *world) join(k *worker, task string, r *taskRun, j *jobInfo) {
	key := gangKey(task, r.run)
	w.gangs.mu.Lock()
	defer w.gangs.mu.Unlock()
	members := append(w.gangs.present[key], gangMember{worker: k, task: task, run: r})
	w.gangs.present[key] = members
	if len(members) < j.tasks {
		return
	}
	for _, m := range members {
		m.worker.mu.Lock()
		m.run.present = true
		m.worker.mu.Unlock()
	}
	time.AfterFunc(j.length, func() {
		w.gangs.mu.Lock()
		whole := len(w.gangs.present[key]) == j.tasks
		delete(w.gangs.present, key)
		w.gangs.mu.Unlock()
		if !whole {
			return
		}
		for _, m := range members {
			m.worker.endRun(m.task, m.run, "done")
		}
	})
}

// breakGang ends the other members of a gang after one of them has ended.
func (w *world) breakGang(task string, run int) {
	key := gangKey(task, run)
	w.gangs.mu.Lock()
	members := w.gangs.present[key]
	delete(w.gangs.present, key)
	w.gangs.mu.Unlock()
	for _, m := range members {
		m.worker.endRun(m.task, m.run, "broken")
	}
}

// playGang: the workers of one rack crash under some members of a gang, while no other machines are free.
func playGang(w *world, trouble bool) (int, error) {
	const members = 6
	lasting := []int{12, 12, 11, 14} // tasks on a worker each, as many as there are machines
	for i, count := range lasting {
		p := phase{Count: count, CPU: 1000, MemMB: 256, EstMS: 700, LongRunning: true, MaxPerServer: 1}
		if !w.submit(w.queues[i], id(100+i), 0, p) {
			return couldNot, fmt.Errorf("a lasting job was not accepted")
		}
	}
	if !w.await(40*time.Second, func() bool {
		for i, count := range lasting {
			if w.check.running(id(100+i)) < count {
				return false
			}
		}
		return true
	}) {
		return couldNot, fmt.Errorf("the lasting jobs do not all run")
	}
	q, job := w.queues[1], id(1)
	gang := phase{Count: members, CPU: 1000, MemMB: 256, EstMS: 8000, MaxPerServer: 1, Gang: true}
	if !w.submit(q, job, 8*time.Second, gang) {
		return couldNot, fmt.Errorf("the gang was not accepted")
	}
	if !w.await(10*time.Second, func() bool { return w.check.running(job) == members }) {
		return couldNot, fmt.Errorf("the gang did not start")
	}
	time.Sleep(time.Second)
	if trouble {
		w.crash(w.rackOf(job), 6*time.Second)
	}
	state := ""
	w.await(45*time.Second, func() bool {
		time.Sleep(2 * time.Second)
		state = w.until(3*time.Second, http.MethodGet, q, job, "", http.StatusOK).body
		return state == `{"state":"completed"}`
	})
	w.note("the gang's job is shown as %s, with %d tasks running", state, w.check.running(job))
	if state != `{"state":"completed"}` && w.isLost(job, q.backend, gang) {
		return broken, nil
	}
	return held, nil
}

// rackOf returns the machines of the service on the rack that has most of a job's tasks.
func (w *world) rackOf(job string) []*machine {
	with := map[string]int{}
	for _, s := range w.check.runsOf(job) {
		if s.ended.IsZero() {
			with[s.worker]++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	racks, best := map[string]int{}, ""
	pool := ""
	for _, m := range w.machines {
		if m.worker != nil && with[m.worker.id] > 0 {
			pool = m.pool
			if racks[m.rack]++; racks[m.rack] > racks[best] {
				best = m.rack
			}
		}
	}
	var list []*machine
	for _, m := range w.machines {
		if m.rack == best && m.pool == pool {
			list = append(list, m)
		}
	}
	return list
}
