package main

import (
	"time"
)

// Figures of the scenario hopeless. A hundredth of a second apart, as many jobs come in 3 s as the busiest class of the site sends at
// its peak; one in 20 of them can never be done.
const (
	hopelessFor   = 3 * time.Second
	hopelessEvery = 20
	jobGap        = 30 * time.Millisecond
	calmGap       = 300 * time.Millisecond
	widest        = 24 // tasks of a step
	hopelessWork  = 800 * time.Millisecond
	soundWork     = 200 * time.Millisecond
	stallTime     = 3 * time.Second
	trafficAfter  = 12 * time.Second
	watchInterval = 50 * time.Millisecond
)

// hopeless has some jobs come to one queue that can never be done: each of their tasks fails by its own fault. All workers are sound.
type hopeless struct{ team *tenant }

func (s *hopeless) prepare(p *play) error {
	if err := p.prepareDeployment(3, 0); err != nil {
		return err
	}
	for _, t := range p.world.tenants {
		s.team = t
	}
	return nil
}

func (s *hopeless) sound(p *play) *job {
	return p.newJob(p.queues[0], s.team, &step{Count: 2, CPU: 400, MemMB: 200, EstMS: int(soundWork.Milliseconds()), work: soundWork})
}

func (s *hopeless) wide(p *play) *job {
	j := p.newJob(p.queues[0], s.team, &step{Count: widest, CPU: 800, MemMB: 200, EstMS: int(hopelessWork.Milliseconds()), work: hopelessWork})
	if p.trouble {
		j.hopeless = true
		j.fails = func(_, _, _, _ int) bool { return true }
	}
	return j
}

func (s *hopeless) play(p *play) {
	w := p.world
	p.queues[0].attempts = 4
	p.writeConfig()
	time.Sleep(2 * configTime)
	began := time.Now()
	looks := time.Now().Add(hopelessFor + trafficAfter + finishTime + stallTime + time.Second)
	p.wait.Go(func() { p.lookAtAll(looks) })
	for i := 0; time.Since(began) < hopelessFor; i++ {
		j := s.sound(p)
		if i%hopelessEvery == hopelessEvery/2 {
			j = s.wide(p)
		}
		p.wait.Go(func() { p.requester.submit(j) })
		time.Sleep(jobGap)
	}
	w.say("no more hopeless jobs come")
	for time.Since(began) < hopelessFor+trafficAfter {
		j := s.sound(p)
		p.wait.Go(func() { p.requester.submit(j) })
		time.Sleep(calmGap)
	}
	w.say("the traffic has ended")
	time.Sleep(finishTime)
	p.judgeStalls()
	p.wait.Wait()
}

// judgeStalls breaks the rule LOST for each accepted job that has nothing running for 3 s while a task's turn has come and there is room.
func (p *play) judgeStalls() {
	w := p.world
	w.say("the jobs are judged")
	stalled := map[*job]int{}
	rounds := int(stallTime / watchInterval)
	for range rounds {
		w.mu.Lock()
		for _, j := range w.jobs {
			if j.accepted > 0 && !j.cancelSent && !j.hopeless && w.isStalled(j) {
				stalled[j]++
			}
		}
		w.mu.Unlock()
		time.Sleep(watchInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for j, n := range stalled {
		if n == rounds {
			used, all, free := w.room(j.queue.backend)
			w.broke("LOST", "%s was accepted %v ago, has nothing running for %v, and a task's turn has come; its service uses %d of %d thousandths of a core, %d are free",
				j.id, (w.now() - j.accepted).Round(time.Millisecond), stallTime, used, all, free)
		}
	}
}

// room returns what the up workers of a service use, have and have free.
func (w *world) room(backend string) (used, all, free int) {
	for _, m := range w.fleet.machines {
		if m.worker == nil || m.pool != backend {
			continue
		}
		all += m.cpu
		for _, r := range m.worker.runs {
			used += r.task.job.Phases[r.task.step].CPU
		}
	}
	return used, all, all - used
}

// isStalled reports whether nothing of a job runs though a task's turn has come and there is room for it twice over.
func (w *world) isStalled(j *job) bool {
	for _, t := range j.tasks {
		if len(t.running) > 0 {
			return false
		}
	}
	used, all, free := w.room(j.queue.backend)
	for s := range j.Phases {
		isTurn := !j.stepDone(0, s)
		for _, before := range j.Phases[s].After {
			isTurn = isTurn && j.stepDone(0, before)
		}
		if isTurn && free >= 2*j.Phases[s].CPU && 2*used < all {
			return true
		}
	}
	return false
}
