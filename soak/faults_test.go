package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

// injectFaults injects random faults, which may overlap, until ctx is done, and returns a description of each.
func (s *simulation) injectFaults(ctx context.Context, t *testing.T) []string {
	var injected []string
	started := time.Now()
	for ctx.Err() == nil {
		i := s.instances[s.random.IntN(len(s.instances))]
		pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
		name, inject, remove := s.pickFault(t, i)
		injected = append(injected, fmt.Sprintf("%5.2f s  %s for %v", time.Since(started).Seconds(), name, pause))
		inject()
		time.AfterFunc(pause, remove)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(s.random.IntN(1800)) * time.Millisecond):
		}
	}
	return injected
}

func (s *simulation) pickFault(t *testing.T, i *instance) (name string, inject, remove func()) {
	nothing := func() {}
	signal := func(sig syscall.Signal) func() { return func() { i.signal(sig) } }
	proxied := func(f fault) func() { return func() { i.proxy.setFault(f) } }
	kinds := unlinkedKinds
	if s.links != nil {
		kinds += linkKinds
	}
	switch s.random.IntN(kinds) {
	case 0:
		return i.name + " is killed", signal(syscall.SIGKILL), nothing
	case 1:
		return i.name + " is paused", signal(syscall.SIGSTOP), signal(syscall.SIGCONT)
	case 2:
		return i.name + " gets a stop signal", signal(syscall.SIGTERM), nothing
	case 3:
		return i.name + " reaches the store with a delay", proxied(delayed), proxied(noFault)
	case 4:
		return i.name + " is cut off from the store", proxied(blackhole), proxied(noFault)
	case 5:
		return i.name + " reaches the store but gets no replies", proxied(blockReplies), proxied(noFault)
	case 6:
		return i.name + " has its connections to the store reset", proxied(reset), proxied(noFault)
	case 7:
		return "the store answers with 503", func() { s.store.setMode(unavailable) }, func() { s.store.setMode(serving) }
	case 8:
		return "the store does not answer", func() { s.store.setMode(unresponsive) }, func() { s.store.setMode(serving) }
	case 9:
		return "some answers of the store to appends are lost", func() { s.store.setMode(losingReplies) }, func() { s.store.setMode(serving) }
	case 10:
		return "some orders to workers are handled late or not answered", func() { s.fleet.setLateRate(0.08) }, func() { s.fleet.setLateRate(0) }
	case 11, 12:
		var reconnect func()
		return "a worker is cut off and keeps running", func() { reconnect = s.fleet.cutWorker() }, func() { reconnect() }
	case 13, 14:
		return i.name + " and some workers are cut off, and another instance gets a stop signal", func() { s.isolate(i) }, func() { s.rejoin(i) }
	case 15:
		return "a worker crashes", func() { s.fleet.crashWorker(t) }, nothing
	case 16:
		return i.name + " gets no answers to its reads", func() { i.view.holdReads(true) }, func() { i.view.holdReads(false) }
	case 17:
		pool := s.drawPool()
		return "reads of the intake of " + pool + " get no answers", func() { s.store.holdIntake(pool, true) }, func() { s.store.holdIntake(pool, false) }
	case 18, 19, 20:
		return s.deafenOwner(s.drawPool())
	default:
		return s.pickCut(i)
	}
}

// Times of a network partition between data centres.
const (
	takeoverTime  = 1800 * time.Millisecond // until other instances own the shards of the isolated one
	isolationTime = 7 * time.Second         // longer than leases last; in addition to the random duration of the fault
)

// isolate cuts an instance off from the store, together with workers that it still reaches but its successors do not,
// and stops another instance once successors have taken over.
func (s *simulation) isolate(isolated *instance) {
	isolated.proxy.setFault(blackhole)
	s.fleet.blockNewOwners()
	n := s.index(isolated)
	other := s.instances[(n+1+s.random.IntN(len(s.instances)-1))%len(s.instances)]
	time.AfterFunc(takeoverTime, func() { other.signal(syscall.SIGTERM) })
}

func (s *simulation) index(i *instance) int { return slices.Index(s.instances, i) }

func (s *simulation) rejoin(isolated *instance) {
	time.Sleep(isolationTime)
	s.fleet.unblockNewOwners()
	isolated.proxy.setFault(noFault)
}

func (s *simulation) removeFaults() {
	time.Sleep(3 * time.Second) // the longest fault lasts 2.8 s; isolation and deafness may last longer and are ended below
	s.store.setMode(serving)
	s.fleet.setLateRate(0)
	s.fleet.unblockNewOwners()
	for _, i := range s.instances {
		i.proxy.setFault(noFault)
		i.view.holdReads(false)
		i.signal(syscall.SIGCONT)
	}
	s.removeCuts()
}
