package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/attempt"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/queue"
)

// Statuses of refusals.
const (
	statusUnauthorized  = http.StatusUnauthorized
	statusForbidden     = http.StatusForbidden
	statusNotFound      = http.StatusNotFound
	statusConflict      = http.StatusConflict
	statusUnprocessable = http.StatusUnprocessableEntity
	statusTooMany       = http.StatusTooManyRequests
	statusBadGateway    = http.StatusBadGateway
	statusUnavailable   = http.StatusServiceUnavailable
	statusTimeout       = http.StatusGatewayTimeout
)

// Request is one request of a caller.
type Request struct {
	ID             string
	Queue          id.Queue
	Secret         string // the key's secret, empty without a key
	Class          queue.Class
	Deadline       time.Time // when to give up waiting for a slot
	IdempotencyKey string
	Idempotent     bool // may run more than once
	Needs          Needs
	Header         http.Header
	Body           []byte

	before func(ctx context.Context) error // runs when a place is found; on failure nothing is sent
}

// RefusedError reports a request that did not run and never will under this attempt.
type RefusedError struct {
	Status     int // of HTTP
	Reason     string
	RetryAfter time.Duration // zero when a repeat does not help
}

// Error returns the reason.
func (e RefusedError) Error() string { return "not run: " + e.Reason }

// UnknownError reports a request that may have run and whose answer is lost.
type UnknownError struct {
	Status int  // of HTTP
	Ran    bool // an earlier attempt under the same key is known to have run
	Reason string
}

// Error returns the reason.
func (e UnknownError) Error() string { return "unknown: " + e.Reason }

// kind is how a request went on a worker.
type kind int

const (
	answered    kind = iota
	refused          // the worker did not take it
	unreachable      // the worker cannot have received it
	unknown          // the worker may have run it
	withheld         // it was not sent though a worker had been chosen
	abandoned        // it never reached a worker
)

// withheldError reports a request that was not sent though a worker had been chosen for it.
type withheldError struct{ Reason string }

// Error returns the reason.
func (e withheldError) Error() string { return "not sent: " + e.Reason }

// outcome is how a request went on a worker and what that says of the worker.
type outcome struct {
	kind   kind
	failed bool // the worker answered that it failed
	free   int  // slots that the worker said were free, -1 when it did not
}

// Serve carries a request to an endpoint and returns its whole answer. It fails with RefusedError
// when the request did not run and with UnknownError when it may have.
func (c *Control) Serve(ctx context.Context, r Request) (endpoint.Answer, error) {
	started := time.Now()
	team, key, pool, err := c.authorize(r)
	if err != nil {
		c.config.Metrics.refused(r, err)
		return endpoint.Answer{}, err
	}
	if r.IdempotencyKey != "" {
		return c.serveOnce(ctx, r, team, func() (endpoint.Answer, error) { return c.serve(ctx, r, team, key, pool, started) })
	}
	return c.serve(ctx, r, team, key, pool, started)
}

// authorize returns the team that a request counts for, the hash of its key, and its pool.
func (c *Control) authorize(r Request) (id.Team, string, id.Pool, error) {
	v := c.view.Load()
	q, ok := v.rules.Queue(r.Queue)
	if !ok {
		return "", "", "", RefusedError{Status: statusNotFound, Reason: fmt.Sprintf("no queue is called %q", r.Queue)}
	}
	if r.Secret == "" {
		if !q.Open {
			return "", "", "", RefusedError{Status: statusUnauthorized, Reason: "the queue needs a key"}
		}
		return q.Teams[0], "", q.Pool, nil
	}
	key, ok := v.key(r.Secret)
	if !ok {
		return "", "", "", RefusedError{Status: statusUnauthorized, Reason: "the key is not in force"}
	}
	if !q.Takes(key.Team) && !c.config.Planted.TakeAnyKey {
		return "", "", "", RefusedError{Status: statusForbidden, Reason: "the key's team has no right to the queue"}
	}
	return key.Team, key.Hash, q.Pool, nil
}

// serve waits for a place, runs the request there, and tries other places while it cannot have run.
func (c *Control) serve(ctx context.Context, r Request, team id.Team, key string, pool id.Pool, started time.Time) (endpoint.Answer, error) {
	t := &ticket{
		item:    queue.Item{Team: team, Class: r.Class, Arrived: started, Deadline: r.Deadline},
		pool:    pool,
		key:     key,
		request: r.ID,
		needs:   r.Needs,
		verdict: make(chan verdict, 1),
	}
	c.post(func() { c.admit(time.Now(), t) })
	touched := false
	for {
		place, err := c.await(ctx, t)
		if err != nil && touched {
			return endpoint.Answer{}, lostAnswer()
		}
		if err != nil {
			c.config.Metrics.refused(r, err)
			return endpoint.Answer{}, err
		}
		c.config.Metrics.started(team, r.Class, time.Since(started))
		answer, err := c.run(ctx, r, t, place)
		o := judge(answer, err)
		touched = touched || o.kind == unknown
		if c.retry(ctx, r, o) {
			c.log.Info("trying another place", zap.String("request", r.ID), zap.String("worker", string(place.worker)), zap.Error(err))
			c.post(func() { c.again(time.Now(), t, o) })
			continue
		}
		c.post(func() { c.finish(time.Now(), t, o) })
		if touched && o.kind != answered {
			err = lostAnswer()
		}
		return c.conclude(r, team, place, started, answer, err)
	}
}

// await waits for the verdict; when the caller goes first, the request leaves the line.
func (c *Control) await(ctx context.Context, t *ticket) (verdict, error) {
	select {
	case v := <-t.verdict:
		return v, v.err
	case <-c.stopped:
		return verdict{}, RefusedError{Status: statusUnavailable, Reason: "this instance has stopped"}
	case <-ctx.Done():
	}
	c.post(func() { c.finish(time.Now(), t, outcome{kind: abandoned}) })
	return verdict{}, RefusedError{Status: statusTimeout, Reason: "the caller did not wait"}
}

func (c *Control) run(ctx context.Context, r Request, t *ticket, place verdict) (endpoint.Answer, error) {
	if time.Since(place.at) > verdictValid {
		return endpoint.Answer{}, withheldError{Reason: "this instance was paused"}
	}
	if err := c.prepare(ctx, r); err != nil {
		return endpoint.Answer{}, withheldError{Reason: err.Error()}
	}
	task := endpoint.Task{
		Request: r.ID + "." + uuid.NewString()[:8],
		Team:    t.item.Team,
		Queue:   r.Queue,
		Lease:   c.timing.TaskLease,
		Header:  r.Header,
		Body:    r.Body,
	}
	c.log.Debug("starting", zap.String("request", r.ID), zap.String("attempt", task.Request), zap.String("worker", string(place.worker)))
	answer, err := c.config.Endpoints.Run(ctx, place.address, task)
	var lost endpoint.UnknownError
	if errors.As(err, &lost) {
		c.linger(ctx, t, place, task)
	}
	return answer, err
}

// prepare does what must come before a request is sent, in time for it to be sent still.
func (c *Control) prepare(ctx context.Context, r Request) error {
	if r.before == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, verdictValid)
	defer cancel()
	return r.before(ctx)
}

// judge says what an answer or error means for where the request has been.
func judge(answer endpoint.Answer, err error) outcome {
	var notStarted endpoint.NotStartedError
	var kept withheldError
	switch {
	case errors.As(err, &kept):
		return outcome{kind: withheld}
	case err == nil:
		return outcome{kind: answered, failed: answer.Status >= http.StatusInternalServerError, free: answer.Free}
	case errors.As(err, &notStarted) && notStarted.Refused:
		return outcome{kind: refused}
	case errors.As(err, &notStarted):
		return outcome{kind: unreachable}
	}
	return outcome{kind: unknown}
}

// retry reports whether a request may be tried in another place.
func (c *Control) retry(ctx context.Context, r Request, o outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	switch o.kind {
	case refused, unreachable, withheld:
		return true
	case unknown:
		return (r.Idempotent || c.config.Planted.RetryUnknown) && c.upkeep.retries.Allow()
	}
	return false
}

// conclude turns what became of a request into what its caller is told.
func (c *Control) conclude(r Request, team id.Team, place verdict, started time.Time, answer endpoint.Answer, err error) (endpoint.Answer, error) {
	o := judge(answer, err)
	c.config.Metrics.ended(team, r.Class, o, time.Since(started))
	c.log.Info("request ended",
		zap.String("request", r.ID), zap.String("team", string(team)), zap.String("worker", string(place.worker)),
		zap.Duration("took", time.Since(started)), zap.Int("status", answer.Status), zap.Error(err))
	switch {
	case o.kind == answered:
		return answer, nil
	case o.kind == unknown && c.config.Planted.SayNotRun, o.kind == refused, o.kind == unreachable, o.kind == withheld:
		return endpoint.Answer{}, RefusedError{Status: statusUnavailable, Reason: "no endpoint took the request"}
	}
	return endpoint.Answer{}, lostAnswer()
}

func lostAnswer() error {
	return UnknownError{Status: statusBadGateway, Reason: "an endpoint may have run the request and its answer was lost"}
}

// serveOnce runs a request under its idempotency key, once in the whole fleet unless it did not run.
func (c *Control) serveOnce(ctx context.Context, r Request, team id.Team, serve func() (endpoint.Answer, error)) (endpoint.Answer, error) {
	a := attempt.Attempt{
		Key: attempt.Key{Team: team, Value: r.IdempotencyKey}, ID: uuid.NewString(),
		Holder: c.Member(), State: attempt.Open, At: time.Now(),
	}
	if c.config.Planted.ReserveNothing {
		return serve()
	}
	if err := c.reserve(ctx, a); err != nil {
		return endpoint.Answer{}, err
	}
	answer, err := serve()
	a.State = stateOf(err)
	c.finishAttempt(a)
	return answer, err
}

func stateOf(err error) attempt.State {
	var refusal RefusedError
	switch {
	case err == nil:
		return attempt.Answered
	case errors.As(err, &refusal):
		return attempt.NotRun
	}
	return attempt.Unknown
}
