package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/task"
)

// Bounds of submitted tasks.
const (
	maxTasks       = 50_000
	maxTaskAnswer  = 256 << 10 // bytes that the log keeps of one answer
	submitPatience = 5 * time.Second
	maxAskWait     = 30 * time.Second
)

// held is a task that this instance answers for.
type held struct {
	cancel context.CancelFunc // nil when it does not run here
	ended  chan struct{}      // closed at its end
}

// Submit takes a task that is collected later; once it returns, the platform's log holds the task. It
// fails with RefusedError when the task will not run and with UnknownError when it may.
func (c *Control) Submit(ctx context.Context, r Request) (task.Task, error) {
	team, key, _, err := c.authorize(r)
	if err != nil {
		return task.Task{}, err
	}
	t := task.Task{
		Team: team, Queue: r.Queue, Class: r.Class, Key: key, Idempotent: r.Idempotent,
		Type: r.Header.Get("Content-Type"), Body: r.Body, Needs: task.Needs(r.Needs), Submitted: time.Now().UTC().Round(0), Deadline: r.Deadline, State: task.Waiting,
	}
	if r.IdempotencyKey == "" {
		return c.submit(ctx, t)
	}
	_, err = c.serveOnce(ctx, r, team, func() (endpoint.Answer, error) {
		t, err = c.submit(ctx, t)
		return endpoint.Answer{}, err
	})
	return t, err
}

func (c *Control) submit(ctx context.Context, t task.Task) (task.Task, error) {
	var refusal error
	err := c.do(ctx, func() {
		t.ID = string(c.self) + "." + uuid.NewString()
		refusal = c.mayTake(time.Now())
	})
	if err == nil {
		err = refusal
	}
	if err != nil {
		return t, RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second}
	}
	ctx, cancel := context.WithTimeout(ctx, submitPatience)
	defer cancel()
	if err := c.journal.write(ctx, task.Record{Task: t}); err != nil {
		return t, UnknownError{Status: statusUnavailable, Reason: "the platform's log did not confirm the task: " + err.Error()}
	}
	c.post(func() {
		c.tasks.Apply(task.Record{Task: t})
		c.launch(t)
	})
	return t, nil
}

// mayTake returns an error while this instance must not take tasks.
func (c *Control) mayTake(now time.Time) error {
	switch {
	case c.stage == stopping:
		return FencedError{Reason: "it is stopping"}
	case !c.lease.joined:
		return FencedError{Reason: "it has not joined"}
	case c.tasks.Len() >= maxTasks:
		return FencedError{Reason: "it holds too many tasks"}
	}
	return c.mayStart(now)
}

// launch has a goroutine run a task that waits.
func (c *Control) launch(t task.Task) {
	h := c.hold(t.ID)
	if t.State != task.Waiting || h.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	r := &taskRun{control: c, task: t, ctx: ctx}
	go r.run()
}

func (c *Control) hold(name string) *held {
	h, ok := c.held[name]
	if !ok {
		h = &held{ended: make(chan struct{})}
		c.held[name] = h
	}
	return h
}

// taskRun runs one task in the place of a caller.
type taskRun struct {
	control *Control
	task    task.Task
	ctx     context.Context
}

func (r *taskRun) run() {
	c := r.control
	t := r.task
	request := Request{
		ID: t.ID, Queue: t.Queue, Class: t.Class, Deadline: t.Deadline, Idempotent: t.Idempotent,
		Needs: Needs(t.Needs), Header: http.Header{}, Body: t.Body, before: r.starting,
	}
	if t.Type != "" {
		request.Header.Set("Content-Type", t.Type)
	}
	pool := c.view.Load().pool(t.Queue)
	answer, err := c.serve(r.ctx, request, t.Team, t.Key, pool, t.Submitted)
	if errors.Is(err, errHandedOver) {
		return
	}
	r.finish(answer, err)
}

// starting notes in the log that the task is about to be sent, so that nobody runs it again.
func (r *taskRun) starting(ctx context.Context) error {
	patch := r.task
	patch.State = task.Running
	if err := r.control.journal.write(ctx, task.Record{Task: slim(patch), Patch: true}); err != nil {
		return errors.Trace(err)
	}
	r.control.post(func() { r.control.tasks.Apply(task.Record{Task: slim(patch), Patch: true}) })
	return nil
}

// finish notes the task's end, in the log too.
func (r *taskRun) finish(answer endpoint.Answer, err error) {
	c := r.control
	ended := conclusion(r.ctx, r.task, answer, err)
	record := task.Record{Task: slim(ended), Patch: true}
	ctx, cancel := context.WithTimeout(context.Background(), submitPatience)
	defer cancel()
	if err := c.journal.write(ctx, record); err != nil {
		c.log.Warn("the log did not confirm a task's end", zap.String("task", ended.ID), zap.Error(err))
	}
	c.post(func() {
		c.tasks.Apply(record)
		if h := c.held[ended.ID]; h != nil {
			close(h.ended)
			delete(c.held, ended.ID)
		}
	})
}

// conclusion returns a task with what became of it.
func conclusion(ctx context.Context, t task.Task, answer endpoint.Answer, err error) task.Task {
	t.Ended = time.Now().UTC().Round(0)
	var refused RefusedError
	switch {
	case err == nil && len(answer.Body) > maxTaskAnswer:
		t.State, t.Status = task.Done, answer.Status
		t.Detail = "the answer is larger than 256 KiB and was not kept"
	case err == nil:
		t.State, t.Status = task.Done, answer.Status
		t.AnswerType, t.Answer = answer.Header.Get("Content-Type"), answer.Body
	case ctx.Err() != nil:
		t.State, t.Detail = task.Cancelled, err.Error()
	case errors.As(err, &refused):
		t.State, t.Detail = task.Refused, refused.Reason
	default:
		t.State, t.Detail = task.Unknown, err.Error()
	}
	return t
}

// slim drops what the first record of a task has said already.
func slim(t task.Task) task.Task {
	t.Body = nil
	t.Type = ""
	return t
}

// Task returns a task of a team, waiting up to a time for its end, or cancels it. It fails with
// RefusedError when there is none, and with UnknownError when the instance that knows cannot be asked.
func (c *Control) Task(ctx context.Context, secret string, request peer.TaskRequest) (task.Task, error) {
	key, ok := c.view.Load().key(secret)
	if !ok {
		return task.Task{}, RefusedError{Status: statusUnauthorized, Reason: "the key is not in force"}
	}
	request.Team = key.Team
	request.Wait = min(request.Wait, maxAskWait)
	reply, err := c.requestTask(ctx, request)
	if err != nil {
		return task.Task{}, UnknownError{Status: statusUnavailable, Reason: err.Error()}
	}
	if !reply.Found {
		return task.Task{}, RefusedError{Status: statusNotFound, Reason: "the team has no such task"}
	}
	return reply.Task, nil
}

// requestTask finds the member that answers for a task.
func (c *Control) requestTask(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, error) {
	taker, _, _ := strings.Cut(request.Task, ".")
	var owner id.Member
	var mine, known bool
	var address netip.AddrPort
	err := c.do(ctx, func() {
		owner, known = c.tables.Owner(id.Member(taker))
		mine = owner == c.self
		if m := c.tables.Members[owner]; m != nil {
			address = m.Peer
		}
	})
	switch {
	case err != nil:
		return peer.TaskReply{}, errors.Trace(err)
	case mine:
		return c.HandleTask(ctx, request)
	case !known && owner == "" && !c.isPast(ctx, id.Member(taker)):
		return peer.TaskReply{}, nil
	case !known:
		return peer.TaskReply{}, errors.Errorf("the task's instance has ended and nobody answers for it yet")
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+c.timing.LogTimeout)
	defer cancel()
	reply, err := c.config.Peers.Task(ctx, address, request)
	return reply, errors.Annotatef(err, "asking %s", owner)
}

// isPast reports whether a member has lapsed and its accounts are not settled yet.
func (c *Control) isPast(ctx context.Context, member id.Member) bool {
	past := false
	err := c.do(ctx, func() { past = c.tables.Members[member] != nil })
	return err != nil || past
}

// HandleTask answers for a task that this instance holds.
func (c *Control) HandleTask(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, error) {
	reply, h, err := c.look(ctx, request)
	if err != nil || !reply.Found || reply.Task.State.Ended() || request.Wait <= 0 || h == nil {
		return reply, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	select {
	case <-h.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	request.Cancel = false
	reply, _, err = c.look(context.WithoutCancel(ctx), request)
	return reply, err
}

// errAdopting is the fault of a request for tasks that are still being taken over.
var errAdopting = errors.New("the task is being taken over from an instance that has ended")

func (c *Control) look(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, *held, error) {
	var reply peer.TaskReply
	var h *held
	adopting := false
	err := c.do(ctx, func() {
		reply.Task, reply.Found = c.tasks.Get(request.Task)
		adopting = !reply.Found && c.adopting()
		if reply.Found && reply.Task.Team != request.Team {
			reply = peer.TaskReply{}
		}
		if !reply.Found {
			return
		}
		h = c.held[request.Task]
		if request.Cancel && h != nil && h.cancel != nil {
			h.cancel()
		}
	})
	if err == nil && adopting {
		err = errAdopting
	}
	return reply, h, errors.Trace(err)
}

// pool returns the pool of a queue.
func (v *view) pool(name id.Queue) id.Pool {
	q, _ := v.rules.Queue(name)
	return q.Pool
}

// expireEvery is the time between looks for tasks to forget.
const expireEvery = time.Minute

func (c *Control) expireTasks(now time.Time) {
	if now.Sub(c.expired) > expireEvery {
		c.expired = now
		c.tasks.Expire(now)
	}
}
