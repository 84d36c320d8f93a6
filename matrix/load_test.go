package matrix

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/standin"
	"marigoldshed.example/marigoldshed/trial"
)

// Size and timeouts of the load.
const (
	callers      = 10
	callDeadline = 4 * time.Second
	callTimeout  = 8 * time.Second
)

// load sends requests of all teams and records their outcomes.
type load struct {
	w                 *world
	ctx               context.Context
	stop              context.CancelFunc
	group             sync.WaitGroup
	mu                sync.Mutex
	calls             []trial.Call
	withdrawnKeyCalls []trial.Call
}

func startLoad(w *world, seed uint64) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{w: w, ctx: ctx, stop: stop}
	for n := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		l.group.Go(func() { l.runCaller(n, random) })
	}
	return l
}

// runCaller sends one request after another and pauses for a random time after each.
func (l *load) runCaller(n int, random *rand.Rand) {
	for count := 0; l.ctx.Err() == nil; count++ {
		length := time.Duration(20+random.IntN(400)) * time.Millisecond
		c := trial.Call{
			ID: fmt.Sprintf("c%d-%d", n, count), Team: []id.Team{"red", "blue"}[random.IntN(2)],
			Queue: []id.Queue{"front", "nights"}[random.IntN(2)], Class: queue.Urgent, Work: length,
		}
		if n == 0 {
			c.Team, c.Queue = trial.GuestTeam, []id.Queue{"guests", "guests", "front"}[count%3]
		}
		c.Body = c.ID + " " + length.String()
		key := ""
		c.Idempotent = n == 1
		if random.IntN(2) == 0 && n > 1 {
			key = c.ID
		}
		l.sendWithRetry(c, key, random)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// sendWithRetry sends a request, and sends it again under the same idempotency key, through a newly picked
// instance, when its outcome is unknown.
func (l *load) sendWithRetry(c trial.Call, key string, random *rand.Rand) {
	first := l.send(c, l.pickReady(random), key)
	if key != "" && (first.Outcome == caller.Unknown || first.LossReason != "") {
		l.send(c, l.pickReady(random), key)
	}
}

// pickReady returns a random instance that is ready, as a load balancer would. When none is ready, it returns
// any running instance, or nil when no instance runs.
func (l *load) pickReady(random *rand.Rand) *instance {
	running := l.w.runningInstances()
	if len(running) == 0 {
		return nil
	}
	start := random.IntN(len(running))
	for n := range running {
		if i := running[(start+n)%len(running)]; i.control.Ready() {
			return i
		}
	}
	return running[start]
}

// send sends one request and records its outcome.
func (l *load) send(c trial.Call, i *instance, key string) trial.Call {
	if i == nil {
		return c
	}
	c.Sent = time.Now()
	serve(l.ctx, i, &c, key)
	c.Done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Team == trial.GuestTeam {
		l.withdrawnKeyCalls = append(l.withdrawnKeyCalls, c)
	} else {
		l.calls = append(l.calls, c)
	}
	return c
}

// serve sends a request to an instance and fills in its outcome; the request is lost when the instance ends
// first.
func serve(ctx context.Context, i *instance, c *trial.Call, key string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	defer context.AfterFunc(i.ctx, cancel)()
	answer, err := i.control.Serve(ctx, entry.Request{
		ID: c.ID, Queue: c.Queue, Secret: trial.Secret(c.Team), Class: c.Class,
		Deadline: c.Sent.Add(callDeadline), IdempotencyKey: key, Idempotent: c.Idempotent, Body: []byte(c.Body),
	})
	var refused entry.RefusedError
	var unknown entry.UnknownError
	switch {
	case i.ctx.Err() != nil:
		c.LossReason = "the instance ended"
	case ctx.Err() != nil:
		c.LossReason = "no answer in time"
	case errors.As(err, &refused):
		c.Outcome, c.Status = caller.NotRun, refused.Status
	case errors.As(err, &unknown) && unknown.Ran:
		c.Outcome, c.Status = caller.Ran, unknown.Status
	case errors.As(err, &unknown):
		c.Outcome, c.Status = caller.Unknown, unknown.Status
	default:
		c.Status = answer.Status
		c.AnswerMatches = string(answer.Body) == standin.Answer(c.Body)
	}
}

// finish ends the load and waits for requests in flight.
func (l *load) finish() {
	l.stop()
	l.group.Wait()
}
