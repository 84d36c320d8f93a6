package main

import (
	"time"
)

// Figures of the scenario caps.
const (
	largeCap  = 200000 // thousandths of a core
	smallCap  = 2000
	pieceCPU  = 1700
	pieceWork = 1700 * time.Millisecond
	pieceGap  = 500 * time.Millisecond
	capsPools = 4
)

// caps has the operators lower the cap of a team that sends work to all queues.
type caps struct{ team *tenant }

func (s *caps) prepare(p *play) error {
	if err := p.prepareDeployment(capsPools, largeCap); err != nil {
		return err
	}
	for _, t := range p.world.tenants {
		s.team = t
	}
	return nil
}

func (s *caps) play(p *play) {
	w := p.world
	end := time.Now().Add(p.length)
	p.wait.Go(func() { p.lookAtAll(end) })
	if p.trouble {
		p.wait.Go(func() { s.lower(p) })
	}
	for i := 0; time.Now().Before(end); i++ {
		j := p.newJob(p.queues[i%capsPools], s.team, &step{Count: 1, CPU: pieceCPU, MemMB: 200, EstMS: int(pieceWork.Milliseconds()), work: pieceWork})
		p.wait.Go(func() { p.requester.submit(j) })
		time.Sleep(pieceGap)
	}
	w.say("the traffic has ended")
	p.wait.Wait()
}

// lower writes the smaller cap, which counts from config_ms after its confirmation on.
func (s *caps) lower(p *play) {
	time.Sleep(contactTime)
	w := p.world
	w.mu.Lock()
	s.team.cpuCap = smallCap
	w.mu.Unlock()
	p.writeConfig()
	w.mu.Lock()
	s.team.cpuCap = largeCap // may still be in force
	w.mu.Unlock()
	time.Sleep(configTime + time.Second)
	w.mu.Lock()
	s.team.cpuCap = smallCap
	w.note("from now on the cap of %d counts", smallCap)
	w.mu.Unlock()
}
