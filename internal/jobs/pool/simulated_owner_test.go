package pool

import (
	"errors"
	"time"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// fakeOwner drives a Pool as a real owner does.
type fakeOwner struct {
	w              *simulation
	pool           *Pool
	epoch          int64
	writing        bool
	batches        int64 // stored so far
	frozen         bool
	terminated     bool
	backlog        []func()
	lastProof      time.Duration
	unreachable    map[string]bool
	logUnreachable bool          // cannot reach the log
	storeDelay     time.Duration // that the log takes longer to store a batch
	sendDelay      time.Duration // delay between deciding on orders and sending them
	turn           time.Duration // between two times at which it gets processor time, 0 if it is not short of it
}

const (
	testLease        = 4 * time.Second
	testMaxLease     = 10 * time.Second
	testInherited    = 8660 * time.Millisecond // as computed by the owner of a pool
	testHandedOver   = 4660 * time.Millisecond // the same where the owner before has stopped
	testOwnerTimeout = 4 * time.Second
)

// fencesPerOwner is the most fences that one owner uses.
const fencesPerOwner = 1 << 20

// takeOver creates a new owner with the next epoch, as a claim of the pool would.
func (w *simulation) takeOver() *fakeOwner {
	w.epoch++
	o := &fakeOwner{w: w, epoch: w.epoch, lastProof: w.now, unreachable: map[string]bool{}}
	o.pool = New(Config{
		Name: "p", Fence: w.epoch * fencesPerOwner, FirstOwner: w.epoch == 1, Lease: testLease, MaxLease: testMaxLease, InheritedWait: w.inheritedWait, Retention: time.Minute,
		Admission: AdmitByTeam,
	})
	o.pool.SetWorkers(w.moment(), w.list())
	var all []StoredState
	for _, s := range w.log {
		copied := *s
		all = append(all, copied)
	}
	o.pool.Restore(w.moment(), all)
	w.owners = append(w.owners, o)
	o.tick()
	return o
}

func (w *simulation) list() []catalog.Worker {
	var list []catalog.Worker
	for _, f := range w.workers {
		switch {
		case f.earlierEntry.ID != "" && w.now < f.startedAt+w.entryDelay:
			list = append(list, f.earlierEntry)
		case !f.dead && !f.unlisted, f.dead && w.now < f.entryUntil:
			list = append(list, f.entry())
		}
	}
	return list
}

func (o *fakeOwner) tick() {
	if o.terminated {
		return
	}
	o.w.after(20*time.Millisecond, o.tick)
	o.runOnControlThread(func() {})
}

// runOnControlThread runs f on the owner's control thread; a frozen owner runs it when it resumes.
func (o *fakeOwner) runOnControlThread(f func()) {
	if o.terminated {
		return
	}
	if o.frozen || o.turn > 0 {
		o.backlog = append(o.backlog, f)
		return
	}
	f()
	o.iterate()
}

// takeTurns gives the owner processor time once in each turn.
func (o *fakeOwner) takeTurns(turn time.Duration) {
	o.turn, o.sendDelay = turn, turn
	o.w.after(turn, func() {
		if o.terminated || o.turn != turn {
			return
		}
		o.handleBacklog()
		o.takeTurns(turn)
	})
}

// endTurns gives the owner processor time whenever it needs it.
func (o *fakeOwner) endTurns() {
	o.turn, o.sendDelay = 0, 0
	o.handleBacklog()
}

func (o *fakeOwner) handleBacklog() {
	backlog := o.backlog
	o.backlog = nil
	for _, f := range backlog {
		f()
	}
	o.iterate()
}

// iterate runs one iteration of the control thread.
func (o *fakeOwner) iterate() {
	switch {
	case o.logUnreachable: // the log does not answer, so ownership is neither confirmed nor refused
	case o.epoch == o.w.epoch:
		o.lastProof = o.w.now
	case !o.writing && o.w.now-o.lastProof > time.Second:
		o.terminated = true // its next proof of ownership is refused
		return
	}
	if o.w.now-o.lastProof > testOwnerTimeout {
		return
	}
	at := o.w.moment()
	o.pool.SetWorkers(at, o.w.list())
	o.pool.Tick(at)
	o.pool.SetCordoned(at, o.w.cordoned, nil)
	if !o.writing {
		o.pool.DrainLongRunning(at)
		o.pool.Rescue(at)
		o.pool.Place(at)
		o.write()
	}
	o.send()
}

func (o *fakeOwner) write() {
	b := o.pool.Flush()
	if b.Empty() {
		o.pool.MarkEndsStored(b)
		return
	}
	o.writing = true
	o.w.after(8*time.Millisecond+o.storeDelay, func() {
		if o.logUnreachable {
			return
		}
		if o.epoch != o.w.epoch {
			o.terminated = true // fenced by a newer epoch
			return
		}
		for _, s := range b.Jobs {
			progress := s.Progress
			if data, err := cbor.Marshal(progress); err == nil {
				var copied job.Progress
				if cbor.Unmarshal(data, &copied) == nil {
					o.w.log[s.ID].Progress = &copied
					o.w.recordEnd(s.ID, copied.State)
				}
			}
		}
		o.runOnControlThread(func() {
			o.writing = false
			o.batches++
			o.pool.RaiseFence(o.epoch*fencesPerOwner + o.batches)
			o.pool.RecordStored(o.w.moment(), b)
			o.pool.SendStarts(o.w.moment())
		})
	})
}

func (w *simulation) recordEnd(name job.ID, state job.State) {
	if _, known := w.jobEnds[name]; state.Ended() && !known {
		w.jobEnds[name] = w.now
	}
}

var errLost = errors.New("no answer")

// answerTimeout is how long an owner waits for an answer that is lost.
const answerTimeout = 700 * time.Millisecond

func (o *fakeOwner) send() {
	for _, a := range o.pool.Actions() {
		switch a := a.(type) {
		case StartAction:
			o.order(a.To, 0, func(f *fakeWorker) (any, error) { return f.start(a.Start) }, func(answer any, err error) {
				if _, deadly := o.w.deadly[a.Start.Task]; deadly && o.w.unseenDeaths {
					o.w.after(answerTimeout, func() { o.runOnControlThread(func() { o.pool.RecordStart(o.w.moment(), a, worker.Reply{}, errLost) }) })
					return
				}
				got, _ := answer.(worker.Reply)
				o.pool.RecordStart(o.w.moment(), a, got, err)
			})
		case StopAction:
			o.order(a.To, 0, func(f *fakeWorker) (any, error) { return f.stop(a.Run, a.Fence) }, func(answer any, err error) {
				got, _ := answer.(worker.Reply)
				o.pool.RecordStop(o.w.moment(), a, got, err)
			})
		case PollAction:
			o.poll(a)
		case PaceAction:
		}
	}
}

func (o *fakeOwner) poll(a PollAction) {
	wait := a.Renewal.Wait
	sent := o.w.now
	o.order(a.To, wait, func(f *fakeWorker) (any, error) { return f.renewLease(a.Renewal) }, func(answer any, err error) {
		report, ok := answer.(worker.Report)
		if err != nil || !ok || wait == 0 || len(report.Ended) > 0 {
			o.pool.RecordPoll(o.w.moment(), a, report, err)
			return
		}
		f := o.w.workers[a.To.ID]
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if f.dead {
				o.runOnControlThread(func() { o.pool.RecordPoll(o.w.moment(), a, worker.Report{}, errLost) })
				return
			}
			late := f.report()
			o.w.after(time.Millisecond, func() {
				o.runOnControlThread(func() {
					if o.hasTimedOut(sent, wait, a.To) {
						o.pool.RecordPoll(o.w.moment(), a, worker.Report{}, errLost)
						return
					}
					o.pool.RecordPoll(o.w.moment(), a, late, nil)
				})
			})
		}
		f.polls = append(f.polls, reply)
		o.w.after(wait, reply)
	})
}

// reconnectInterval is the time between two attempts to connect to a worker that is down.
const reconnectInterval = 50 * time.Millisecond

// deliverLater delivers an order to a worker that is down as soon as it is back under its id, unless the time is over by then.
func (w *simulation) deliverLater(to string, until time.Duration, do func(f *fakeWorker) (any, error)) {
	w.after(reconnectInterval, func() {
		f := w.workers[to]
		switch {
		case w.now > until || f == nil || f.disconnected:
		case f.dead:
			w.deliverLater(to, until, do)
		default:
			_, _ = do(f)
		}
	})
}

// hasTimedOut reports whether a call that waits for an event has timed out by the time at which an owner that is short of processor
// time comes to read its answer.
func (o *fakeOwner) hasTimedOut(sent, wait time.Duration, to worker.Target) bool {
	return o.turn > 0 && o.w.now-sent-o.sendDelay > wait+answerTimeout+to.Patience
}

// order delivers an order over a network with faults.
func (o *fakeOwner) order(target worker.Target, wait time.Duration, do func(f *fakeWorker) (any, error), answer func(any, error)) {
	w, to := o.w, target.ID
	sent := w.now
	lost := func() {
		w.after(answerTimeout, func() { o.runOnControlThread(func() { answer(nil, errLost) }) })
	}
	latency := time.Duration(200+w.random.IntN(3000)) * time.Microsecond
	chance := w.random.Float64()
	w.after(latency+o.sendDelay, func() {
		f := w.workers[to]
		switch {
		case f == nil:
			o.runOnControlThread(func() { answer(nil, worker.IncarnationEndedError{ID: to}) })
		case f.dead && !f.disconnected && !o.unreachable[to]:
			lost()
			w.deliverLater(to, w.now+answerTimeout, do)
		case f.dead || f.disconnected || o.unreachable[to] || chance < w.faults.lostBefore:
			lost()
		case chance < w.faults.lostBefore+w.faults.late:
			lost()
			w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
				// A later incarnation under the same id carries it out, too.
				if now := w.workers[to]; now != nil && !now.dead {
					_, _ = do(now)
				}
			})
		default:
			got, err := do(f)
			if chance > 1-w.faults.lostAfter {
				lost()
				return
			}
			w.after(latency, func() {
				o.runOnControlThread(func() {
					if o.hasTimedOut(sent, wait, target) {
						answer(nil, errLost)
						return
					}
					answer(got, err)
				})
			})
		}
	})
}
