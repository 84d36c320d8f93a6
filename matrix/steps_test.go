package matrix

import (
	"context"
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/trial"
)

// step is a point in the system's work at which a fault can be injected.
type step string

const (
	stepEnter    step = "enter"    // a request arrives
	stepCheck    step = "check"    // an idempotency key is reserved
	stepLimit    step = "limit"    // a member requests slots of a limit
	stepSend     step = "send"     // a worker has been chosen and the request is about to be sent
	stepRun      step = "run"      // the request runs
	stepAnswer   step = "answer"   // the answer is on its way
	stepCancel   step = "cancel"   // the caller goes away while the request runs
	stepPublish  step = "publish"  // a rules file is submitted
	stepAccept   step = "accept"   // a change reaches the log
	stepForce    step = "force"    // a change is in force on the first instance
	stepWithdraw step = "withdraw" // a key is withdrawn
	stepOut      step = "out"      // a data centre is taken out
	stepBack     step = "back"     // a data centre is brought back
	stepDrain    step = "drain"    // a drain reaches the log
	stepEmpty    step = "empty"    // a member confirms a drain
	stepReboot   step = "reboot"   // the platform is asked for a reboot
	stepReturn   step = "return"   // a rebooted instance is restored
	stepMove     step = "move"     // an instance is to change its pool
	stepSlice    step = "slice"    // slots are transferred to another member
	stepSnapshot step = "snapshot" // the tables are written to the log
	stepStart    step = "start"    // an entry instance starts
	stepStop     step = "stop"     // an entry instance stops gracefully

	// Steps that only TestPlanted uses, to make the check of a guarantee fail while its mechanism is disabled.
	stepCrowd step = "crowd" // one team sends a burst through one instance
	stepHold  step = "hold"  // an instance is drained and stays drained
	stepShift step = "shift" // an instance changes its pool while both pools are full
	stepFull  step = "full"  // a wave begins while both pools are full
)

func steps() []step {
	return []step{
		stepEnter, stepCheck, stepLimit, stepSend, stepRun, stepAnswer, stepCancel, stepPublish, stepAccept,
		stepForce, stepWithdraw, stepOut, stepBack, stepDrain, stepEmpty, stepReboot, stepReturn, stepMove,
		stepSlice, stepSnapshot, stepStart, stepStop,
	}
}

// watchesMarked reports whether only the marked request, which sendMarked sends, reaches the step.
func (s step) watchesMarked() bool { return s == stepSend || s == stepRun || s == stepAnswer }

// reachTimeout bounds the wait until a step is reached.
const reachTimeout = 60 * time.Second

// trigger starts the work that leads to a step. It injects the fault itself at steps that nothing in the world
// reports; at the others the armed step injects it.
func (c *cell) trigger(s step) {
	switch s {
	case stepEnter:
		c.inject(c.firstInstance())
		c.background.Go(func() { c.sendMarked(callTimeout) })
	case stepCheck, stepLimit:
		c.background.Go(c.loadOneInstance)
	case stepSend, stepRun, stepAnswer:
		c.background.Go(func() { c.sendMarked(callTimeout) })
	case stepCancel:
		c.background.Go(func() { c.sendMarked(cancelAfter) })
		time.Sleep(cancelAfter - time.Millisecond)
		c.inject(c.firstInstance())
	case stepPublish:
		c.inject(c.firstInstance())
		c.background.Go(c.applyRules)
	case stepAccept:
		c.background.Go(c.applyRules)
	case stepForce:
		c.applyRules()
		c.inject(c.firstInstance())
	case stepWithdraw:
		c.inject(c.firstInstance())
		c.background.Go(func() { c.editRules("withdraw", nil, rules.Ref{Kind: "key", Name: "k-guest"}) })
	case stepOut:
		c.inject(c.firstInstance())
		c.background.Go(func() { c.editRules("out", []string{"out dc1 # matrix"}) })
	case stepBack:
		c.editRules("out", []string{"out dc1 # matrix"})
		time.Sleep(4 * time.Second)
		c.inject(c.firstInstance())
		c.background.Go(func() { c.editRules("back", nil, rules.Ref{Kind: "out", Name: "dc1"}) })
	case stepDrain, stepEmpty, stepReboot, stepReturn:
		c.background.Go(func() { c.editRules("wave", []string{"wave w1 pool=all # matrix"}) })
	case stepMove:
		c.background.Go(func() { c.editRules("move", []string{"move w1 pool=batch # matrix"}) })
	case stepSlice:
		c.background.Go(c.loadOneInstance)
	case stepCrowd:
		c.background.Go(c.loadOneInstance)
		c.inject(c.firstInstance())
	case stepHold:
		c.editRules("hold", []string{"drain w1 # matrix"})
		c.inject(c.firstInstance())
	case stepShift:
		c.fillPools()
		c.editRules("move", []string{"move w1 pool=batch # matrix"})
		c.inject(c.firstInstance())
	case stepFull:
		c.fillPools()
		c.editRules("wave", []string{"wave w1 pool=all # matrix"})
		c.inject(c.firstInstance())
	case stepSnapshot:
		c.background.Go(c.appendRecords)
	case stepStart:
		c.w.start(6)
		c.inject(c.firstInstance())
	case stepStop:
		last := c.w.runningInstances()[5]
		go func() { _ = last.control.Stop(context.Background(), 200*time.Millisecond) }()
		time.Sleep(100 * time.Millisecond)
		c.inject(last)
	}
}

// cancelAfter is the time after which the marked request's caller cancels.
const cancelAfter = 300 * time.Millisecond

// firstInstance returns the first running instance, the target of instance faults at steps that involve no
// particular instance.
func (c *cell) firstInstance() *instance { return c.w.runningInstances()[0] }

// sendMarked sends the marked request, whose body begins with "marked" so that the world recognizes it.
func (c *cell) sendMarked(timeout time.Duration) {
	call := trial.Call{ID: "marked", Body: "marked 600ms", Team: "red", Queue: "front", Class: queue.Urgent, Sent: time.Now()}
	i := c.w.runningInstances()[3]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _ = i.control.Serve(ctx, entry.Request{
		ID: call.ID, Queue: call.Queue, Secret: trial.Secret(call.Team), Class: call.Class,
		Deadline: call.Sent.Add(callDeadline), Body: []byte(call.Body),
	})
}

// fillPools has two teams send bursts to both pools and waits 1 s for them to fill.
func (c *cell) fillPools() {
	c.background.Go(func() { c.sendBurst("red", "front", time.Second) })
	c.background.Go(func() { c.sendBurst("blue", "nights", 0) })
	time.Sleep(time.Second)
}

// loadOneInstance has one team send a burst through one instance, so that it must request slots from others.
func (c *cell) loadOneInstance() { c.sendBurst("red", "front", 0) }

// sendBurst has six callers of one team send requests to a queue through one instance. The requests of each
// caller take longer by spread than those of the caller before.
func (c *cell) sendBurst(team id.Team, queueName id.Queue, spread time.Duration) {
	i := c.w.runningInstances()[1]
	for n := range 6 {
		go func() {
			for k := range 8 {
				call := trial.Call{ID: fmt.Sprintf("%s%d-%d", team, n, k), Team: team, Queue: queueName, Class: queue.Urgent}
				call.Body = call.ID + " " + (500*time.Millisecond + time.Duration(n)*spread).String()
				c.load.send(call, i, call.ID)
			}
		}()
	}
}

// appendRecords appends records until a snapshot is due.
func (c *cell) appendRecords() {
	for n := range 12 {
		c.editRules("change", []string{fmt.Sprintf("cutoff dc9 hold=%dm # matrix", n+1)})
	}
}

// operatorTimeout bounds how long an operator retries.
const operatorTimeout = 40 * time.Second

// applyRules submits a whole rules file, each time on the newest version, until it is accepted or operatorTimeout
// is over.
func (c *cell) applyRules() {
	until := time.Now().Add(operatorTimeout)
	for time.Now().Before(until) {
		i := c.operatorTarget()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		version, text, err := i.control.Rules(ctx)
		var outcome fleet.Outcome
		if err == nil {
			outcome, err = i.control.Propose(ctx, "matrix", fleet.Apply{Base: version, Text: text + "# applied\n"})
		}
		cancel()
		if err == nil && outcome.Refused == "" {
			c.recordEvent("apply")
			c.measureRollout(outcome.Version)
			return
		}
		time.Sleep(time.Second)
	}
}

// editRules changes rules through any instance that operators can reach, and records the event once the change
// is in force or pending as a restriction.
func (c *cell) editRules(name string, set []string, remove ...rules.Ref) {
	until := time.Now().Add(operatorTimeout)
	for time.Now().Before(until) {
		i := c.operatorTarget()
		proposed := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		outcome, err := i.control.Propose(ctx, "matrix", fleet.Edit{Set: set, Remove: remove})
		cancel()
		if err == nil && outcome.Refused == "" || pendingRestriction(name, err) {
			c.recordEventAt(name, trial.EffectiveTime(name, proposed))
			c.measureRollout(outcome.Version)
			return
		}
		time.Sleep(time.Second)
	}
}

// measureRollout records how long a version takes to be in force on every instance that can receive it, at most
// callTimeout.
func (c *cell) measureRollout(version int) {
	accepted := time.Now()
	for time.Since(accepted) < callTimeout && !c.isInForce(version) {
		time.Sleep(20 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts = append(c.rollouts, time.Since(accepted))
}

func (c *cell) isInForce(version int) bool {
	for _, i := range c.w.runningInstances() {
		if i.isPaused() || i.dc == "dc1" && c.fault.isolatesDC1 || c.second != nil {
			continue
		}
		status, err := i.control.Status(context.Background())
		if err == nil && status.Version < version && status.Fenced == "" {
			return false
		}
	}
	return true
}

// operatorTarget returns an instance that operators can reach, or the first running instance when there is none.
func (c *cell) operatorTarget() *instance {
	for _, i := range c.w.runningInstances() {
		if !i.isPaused() && i.dc != c.unreachableDC {
			return i
		}
	}
	return c.firstInstance()
}
