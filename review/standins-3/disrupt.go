package main

import (
	"syscall"
	"time"
)

// disrupt has disruptions come by chance until a time.
func (s *mix) disrupt(p *play, end time.Time) {
	p.wait.Go(func() {
		for time.Now().Before(end.Add(-2 * time.Second)) {
			time.Sleep(time.Duration(500+p.world.pickInt(3500)) * time.Millisecond)
			s.disturb(p)
		}
	})
}

// disturb brings about one disruption, and ends it.
func (s *mix) disturb(p *play) {
	w := p.world
	n := w.pick()
	f := w.fleet
	m := f.machines[w.pickInt(len(f.machines))]
	length := time.Duration(1000+w.pickInt(4000)) * time.Millisecond
	kind := w.pickInt(9)
	w.say("DISRUPTION %d %s %s %v", kind, n.name, m.name, length)
	switch kind {
	case 0:
		n.kill()
		time.Sleep(length / 5)
		_ = n.start()
	case 1:
		n.signal(syscall.SIGSTOP)
		time.Sleep(length)
		n.signal(syscall.SIGCONT)
	case 2:
		n.signal(syscall.SIGTERM)
		<-n.exited
		_ = n.start()
	case 3:
		n.storeMode.Store(storeMode{silent: true})
		time.Sleep(length)
		n.storeMode.Store(storeMode{})
	case 4:
		n.storeMode.Store(storeMode{losesAnswers: true})
		time.Sleep(length / 2)
		n.storeMode.Store(storeMode{})
	case 5:
		w.crash(m, length, w.pickInt(2) == 0)
	case 6:
		w.setWorkerMode(m, workerMode{silent: true})
		time.Sleep(length)
		w.setWorkerMode(m, workerMode{})
	case 7:
		for _, o := range f.machines {
			w.setWorkerMode(o, workerMode{late: 0.1})
		}
		time.Sleep(length)
		for _, o := range f.machines {
			w.setWorkerMode(o, workerMode{})
		}
	case 8:
		for _, o := range w.nodes {
			o.storeMode.Store(storeMode{silent: true})
		}
		time.Sleep(length)
		for _, o := range w.nodes {
			o.storeMode.Store(storeMode{})
		}
	}
}

func (w *world) setWorkerMode(m *machine, mode workerMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.worker != nil {
		m.worker.mode.Store(mode)
	}
}

// crash ends a worker without notice; another one begins on its machine after a time, under the same id if again is set.
func (w *world) crash(m *machine, length time.Duration, again bool) {
	w.mu.Lock()
	old := m.worker
	if old == nil {
		w.mu.Unlock()
		return
	}
	m.endWorker(false)
	m.state = "down"
	w.mu.Unlock()
	time.Sleep(length)
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.state != "down" {
		return
	}
	if again {
		m.startAs(old.id)
		return
	}
	w.store.put("servers", old.id, nil)
	m.startWorker()
}
