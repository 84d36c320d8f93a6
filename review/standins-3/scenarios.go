package main

import (
	"fmt"
	"net/http"
	"time"
)

func httpHandler(f func(http.ResponseWriter, *http.Request)) http.Handler { return http.HandlerFunc(f) }

// scenarios holds the scenarios by name.
var scenarios = map[string]scenario{
	"caps":     &caps{},
	"hopeless": &hopeless{},
	"mix":      &mix{},
}

// Figures of the small deployment that most scenarios use.
const (
	machineCPU    = 16000
	machineMemory = 65536
	perPool       = 3
)

// prepareDeployment adds pools with a queue each, a spare pool, and tenants.
func (p *play) prepareDeployment(pools int, caps ...int) error {
	w := p.world
	w.fleet.spare = "spare"
	for i := range pools {
		name := fmt.Sprintf("pool-%d", i)
		p.backends = append(p.backends, backend(name, false))
		p.queues = append(p.queues, &queue{
			name: fmt.Sprintf("q%d", i), host: "jobs.example", prefix: fmt.Sprintf("/q%d/", i), backend: name, attempts: 3, stretch: 1.6, target: 600,
		})
	}
	p.backends = append(p.backends, backend("spare", true))
	for i, limit := range caps {
		name := fmt.Sprintf("team-%d", i)
		w.tenants[name] = &tenant{name: name, key: "key-of-" + name, weight: 10, cpuCap: limit}
	}
	for i := range pools + 1 {
		pool := fmt.Sprintf("pool-%d", i)
		if i == pools {
			pool = "spare"
		}
		for k := range perPool {
			err := w.fleet.add(machineConfig{zone: p.zones[k%len(p.zones)], kind: "a", rack: fmt.Sprintf("r%d-%d", i, k/2), pool: pool, cpu: machineCPU, memory: machineMemory})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func backend(name string, spare bool) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		"admission_control": false, "spare": spare,
	}
}

// newJob adds a job to the world.
func (p *play) newJob(q *queue, t *tenant, phases ...*step) *job {
	w := p.world
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{
		id: fmt.Sprintf("%016x", w.random.Uint64()), queue: q, tenant: t, Phases: phases, tasks: map[string]*task{}, gangs: map[string]*gang{},
	}
	j.Spec = "spec of " + j.id
	w.jobs[j.id] = j
	return j
}

// lookAtAll asks for the states of all jobs that have not ended until a time.
func (p *play) lookAtAll(until time.Time) {
	for time.Now().Before(until) {
		open := p.open()
		if len(open) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		for _, j := range open {
			p.requester.look(j)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// open returns the accepted jobs that were not shown as ended.
func (p *play) open() []*job {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	var list []*job
	for _, j := range p.world.jobs {
		if j.accepted > 0 && j.state != "completed" && j.state != "failed" && j.state != "cancelled" {
			list = append(list, j)
		}
	}
	return list
}

// mix plays jobs of all kinds with random disruptions; it is for finding faults.
type mix struct{ tenants []*tenant }

func (s *mix) prepare(p *play) error {
	if err := p.prepareDeployment(3, 200000, 200000); err != nil {
		return err
	}
	p.queues = append(p.queues, &queue{name: "qa", host: "jobs.example", prefix: "/qa/", backend: "pool-0", attempts: 3, stretch: 1.6, target: 600, advice: true})
	for _, t := range p.world.tenants {
		s.tenants = append(s.tenants, t)
	}
	return nil
}

func (s *mix) play(p *play) {
	end := time.Now().Add(p.length)
	p.wait.Go(func() { p.lookAtAll(end.Add(finishTime)) })
	if p.trouble {
		s.disrupt(p, end)
	}
	for time.Now().Before(end) {
		j := s.job(p)
		p.wait.Go(func() { s.follow(p, j) })
		time.Sleep(time.Duration(50+p.world.random.IntN(200)) * time.Millisecond)
	}
	p.wait.Wait()
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	for _, j := range p.world.jobs {
		if j.accepted > 0 && !j.cancelSent && j.state != "completed" && j.state != "failed" && !j.lasts() {
			p.world.broke("LOST", "%s is %q at the end (%d tasks seen)", j.id, j.state, len(j.tasks))
		}
	}
}

func (j *job) lasts() bool { return j.Phases[0].LongRunning }

func (s *mix) follow(p *play, j *job) {
	if !p.requester.submit(j) {
		return
	}
	if p.world.pickInt(8) == 0 {
		time.Sleep(time.Duration(p.world.pickInt(1500)) * time.Millisecond)
		p.requester.cancel(j)
	}
	if p.world.pickInt(4) == 0 {
		time.Sleep(time.Duration(p.world.pickInt(3000)) * time.Millisecond)
		p.requester.submit(j)
	}
}

func (w *world) pickInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (s *mix) job(p *play) *job {
	w := p.world
	q, t := p.queues[w.pickInt(len(p.queues))], s.tenants[w.pickInt(len(s.tenants))]
	some := func(low, high int) int { return low + w.pickInt(high-low+1) }
	plain := func(after ...int) *step {
		est := some(300, 1500)
		return &step{Count: some(1, 6), CPU: some(200, 3000), MemMB: some(100, 4000), EstMS: est, After: after, work: time.Duration(est) * time.Millisecond}
	}
	switch w.pickInt(8) {
	case 0, 1:
		g := plain()
		g.Gang, g.Count = true, some(2, 8)
		j := p.newJob(q, t, g, plain(0))
		if w.pickInt(2) == 0 {
			j.fails = func(_, step, index, run int) bool { return step == 0 && index == run%2 && run < 3 }
		}
		return j
	case 2:
		j := p.newJob(q, t, plain(), plain(0))
		j.Times, j.FirstMS, j.Interval = some(2, 4), time.Now().UnixMilli()+int64(some(0, 2000)), int64(some(300, 1500))
		return j
	case 3:
		one := plain()
		one.MaxPerServer = 1
		one.Count = some(1, 3)
		return p.newJob(q, t, one, plain(0), plain(0), plain(1, 2))
	case 4:
		if w.pickInt(3) == 0 {
			l := plain()
			l.LongRunning, l.MaxUnavailable, l.CPU = true, 1, some(200, 800)
			return p.newJob(q, t, l)
		}
	case 5:
		j := p.newJob(q, t, plain())
		j.fails = func(_, _, _, run int) bool { return run <= 1 }
		return j
	case 6:
		j := p.newJob(q, t, plain())
		j.fails = func(_, _, index, _ int) bool { return index == 0 }
		return j
	}
	return p.newJob(q, t, plain(), plain(0))
}
