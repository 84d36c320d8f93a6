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
	maxTasks      = 50_000
	maxTaskAnswer = 256 << 10 // bytes of an answer that is kept in the log; a larger one is dropped
	submitTimeout = 5 * time.Second
	maxTaskWait   = 30 * time.Second
	tasksShare    = 4 // one part in so many of the memory for the bodies and the answers of all tasks
	newTasksShare = 2 // one part in so many of that up to which new tasks are accepted; the rest is for answers
)

// heldTask is a task that this instance is responsible for.
type heldTask struct {
	cancel context.CancelFunc // nil if the task does not run here
	done   chan struct{}      // closed when the task ends
}

// Submit accepts a task whose answer is collected later. When it returns without an error, the platform's log holds
// the task. It returns RefusedError if the task will not run and UnknownError if it may.
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
	var fenced error
	err := c.do(ctx, func() {
		t.ID = string(c.self) + "." + uuid.NewString()
		if fenced = c.checkSubmit(time.Now(), t.MemoryBytes()); fenced == nil {
			c.openTasks++
			c.submittingBytes += t.MemoryBytes()
		}
	})
	if err == nil {
		err = fenced
	}
	if err != nil {
		return t, RefusedError{Status: statusUnavailable, Reason: err.Error(), RetryAfter: time.Second}
	}
	bytes := t.MemoryBytes()
	defer c.post(func() {
		c.openTasks--
		c.submittingBytes -= bytes
	})
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
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

// checkSubmit returns an error while this instance must not accept a task that takes so much memory.
func (c *Control) checkSubmit(now time.Time, bytes int64) error {
	switch {
	case c.stage == stopping:
		return FencedError{Reason: "it is stopping"}
	case !c.lease.joined:
		return FencedError{Reason: "it has not joined"}
	case c.tasks.Len() >= maxTasks:
		return FencedError{Reason: "it holds too many tasks"}
	case c.config.Memory > 0 && c.tasks.MemoryBytes()+c.submittingBytes+bytes > c.config.Memory/tasksShare/newTasksShare:
		return FencedError{Reason: "it holds as many bytes of tasks as its memory allows"}
	}
	return c.checkStart(now)
}

// launch starts a goroutine that runs a waiting task. While this instance stops it leaves the task to a successor.
func (c *Control) launch(t task.Task) {
	h := c.holdTask(t.ID)
	if t.State != task.Waiting || h.cancel != nil || c.stage == stopping {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.openTasks++
	r := &taskRun{control: c, task: t, ctx: ctx}
	go r.run()
}

func (c *Control) holdTask(name string) *heldTask {
	h, ok := c.heldTasks[name]
	if !ok {
		h = &heldTask{done: make(chan struct{})}
		c.heldTasks[name] = h
	}
	return h
}

// taskRun runs one task, in the role of its caller.
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
		Needs: Needs(t.Needs), Header: http.Header{}, Body: t.Body, beforeSend: r.markRunning,
	}
	if t.Type != "" {
		request.Header.Set("Content-Type", t.Type)
	}
	pool := c.view.Load().pool(t.Queue)
	answer, err := c.serve(r.ctx, request, t.Team, t.Key, pool, t.Submitted)
	if !errors.Is(err, errHandedOver) {
		r.finish(answer, err)
	}
	c.post(func() { c.openTasks-- })
}

// markRunning records in the platform's log that the task is about to be sent, so that no other member runs it again.
func (r *taskRun) markRunning(ctx context.Context) error {
	patch := r.task
	patch.State = task.Running
	if err := r.control.journal.write(ctx, task.Record{Task: withoutPayload(patch), Patch: true}); err != nil {
		return errors.Trace(err)
	}
	r.control.post(func() { r.control.tasks.Apply(task.Record{Task: withoutPayload(patch), Patch: true}) })
	return nil
}

// finish records the task's end in the platform's log and in the task table.
func (r *taskRun) finish(answer endpoint.Answer, err error) {
	c := r.control
	ended := endedTask(r.ctx, r.task, answer, err)
	if !c.mayKeep(int64(len(ended.Answer))) {
		ended.Answer, ended.AnswerType = nil, ""
		ended.Detail = "the memory did not suffice to keep the answer"
	}
	record := task.Record{Task: withoutPayload(ended), Patch: true}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	if err := c.journal.write(ctx, record); err != nil {
		c.log.Warn("the log did not confirm the end of a task", zap.String("task", ended.ID), zap.Error(err))
	}
	c.post(func() {
		c.tasks.Apply(record)
		if h := c.heldTasks[ended.ID]; h != nil {
			close(h.done)
			delete(c.heldTasks, ended.ID)
		}
	})
}

// mayKeep reports whether the memory suffices to keep an answer.
func (c *Control) mayKeep(bytes int64) bool {
	if c.config.Memory <= 0 || bytes == 0 {
		return true
	}
	keeps := true
	err := c.do(context.Background(), func() { keeps = c.tasks.MemoryBytes()+bytes <= c.config.Memory/tasksShare })
	return err != nil || keeps
}

// endedTask returns a task with its final state and answer.
func endedTask(ctx context.Context, t task.Task, answer endpoint.Answer, err error) task.Task {
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

// withoutPayload returns a task without the body and content type, which its first record holds.
func withoutPayload(t task.Task) task.Task {
	t.Body = nil
	t.Type = ""
	return t
}

// Task returns a team's task, after waiting up to request.Wait for its end, or cancels it. It returns RefusedError if
// there is no such task and UnknownError if the responsible instance cannot be reached.
func (c *Control) Task(ctx context.Context, secret string, request peer.TaskRequest) (task.Task, error) {
	key, ok := c.view.Load().key(secret)
	if !ok {
		return task.Task{}, RefusedError{Status: statusUnauthorized, Reason: "the key is not in force"}
	}
	request.Team = key.Team
	request.Wait = min(request.Wait, maxTaskWait)
	reply, err := c.requestTask(ctx, request)
	if err != nil {
		return task.Task{}, UnknownError{Status: statusUnavailable, Reason: err.Error()}
	}
	if !reply.Found {
		return task.Task{}, RefusedError{Status: statusNotFound, Reason: "the team has no such task"}
	}
	return reply.Task, nil
}

// requestTask requests a task from the member that is responsible for it.
func (c *Control) requestTask(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, error) {
	submitter, _, _ := strings.Cut(request.Task, ".")
	var owner id.Member
	var isOwner, known bool
	var address netip.AddrPort
	err := c.do(ctx, func() {
		owner, known = c.tables.Owner(id.Member(submitter))
		isOwner = owner == c.self
		if m := c.tables.Members[owner]; m != nil {
			address = m.Peer
		}
	})
	switch {
	case err != nil:
		return peer.TaskReply{}, errors.Trace(err)
	case isOwner:
		return c.HandleTask(ctx, request)
	case !known && owner == "" && !c.isUnsettled(ctx, id.Member(submitter)):
		return peer.TaskReply{}, nil
	case !known:
		return peer.TaskReply{}, errors.Errorf("the task's instance has ended and nobody answers for it yet")
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+c.timing.LogTimeout)
	defer cancel()
	reply, err := c.config.Peers.Task(ctx, address, request)
	return reply, errors.Annotatef(err, "asking %s", owner)
}

// isUnsettled reports whether a member whose tasks have no owner is still in the tables, because its lapse is not
// settled yet. It returns true if the control thread does not answer.
func (c *Control) isUnsettled(ctx context.Context, member id.Member) bool {
	past := false
	err := c.do(ctx, func() { past = c.tables.Members[member] != nil })
	return err != nil || past
}

// HandleTask returns a task that this instance is responsible for, after waiting up to request.Wait for its end.
func (c *Control) HandleTask(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, error) {
	reply, h, err := c.lookUpTask(ctx, request)
	if err != nil || !reply.Found || reply.Task.State.Ended() || request.Wait <= 0 || h == nil {
		return reply, err
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	select {
	case <-h.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	request.Cancel = false
	reply, _, err = c.lookUpTask(context.WithoutCancel(ctx), request)
	return reply, err
}

// errAdopting reports that tasks of an ended member are still being adopted.
var errAdopting = errors.New("the task is being taken over from an instance that has ended")

func (c *Control) lookUpTask(ctx context.Context, request peer.TaskRequest) (peer.TaskReply, *heldTask, error) {
	var reply peer.TaskReply
	var h *heldTask
	adopting := false
	err := c.do(ctx, func() {
		reply.Task, reply.Found = c.tasks.Get(request.Task)
		adopting = !reply.Found && c.adoptionPending()
		if reply.Found && reply.Task.Team != request.Team {
			reply = peer.TaskReply{}
		}
		if !reply.Found {
			return
		}
		h = c.heldTasks[request.Task]
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

// taskExpiryInterval is the time between removals of expired tasks.
const taskExpiryInterval = time.Minute

func (c *Control) expireTasks(now time.Time) {
	if now.Sub(c.tasksExpired) > taskExpiryInterval {
		c.tasksExpired = now
		c.tasks.Expire(now)
	}
}
