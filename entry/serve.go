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

// HTTP statuses of refusals.
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

// Request is one request from a caller.
type Request struct {
	ID             string
	Queue          id.Queue
	Secret         string // secret of the caller's key; empty without a key
	Class          queue.Class
	Deadline       time.Time // end of the wait for a slot; zero for none
	IdempotencyKey string
	Idempotent     bool // the request may run more than once
	Needs          Needs
	Header         http.Header
	Body           []byte

	beforeSend func(ctx context.Context) error // called before sending; if it fails, nothing is sent
}

// RefusedError reports a request that did not run and will not run in this attempt.
type RefusedError struct {
	Status     int // HTTP status
	Reason     string
	RetryAfter time.Duration // zero if a retry does not help
}

// Error returns the reason.
func (e RefusedError) Error() string { return "not run: " + e.Reason }

// UnknownError reports a request that may have run and whose answer was lost.
type UnknownError struct {
	Status int  // HTTP status
	Ran    bool // an earlier attempt under the same key is known to have run
	Reason string
}

// Error returns the reason.
func (e UnknownError) Error() string { return "unknown: " + e.Reason }

// outcomeKind is the kind of outcome of a request on a worker.
type outcomeKind int

const (
	answered    outcomeKind = iota
	refused                 // the worker did not accept the request
	unreachable             // the worker cannot have received the request
	unknown                 // the worker may have run the request
	notSent                 // the request was not sent although a worker had been chosen
	abandoned               // the caller went away
)

// notSentError reports a request that was not sent although a worker had been chosen for it.
type notSentError struct{ Reason string }

// Error returns the reason.
func (e notSentError) Error() string { return "not sent: " + e.Reason }

// outcome is the outcome of a request on a worker, and what it tells about the worker.
type outcome struct {
	kind   outcomeKind
	failed bool // the worker answered with a server error
	free   int  // free slots that the worker reported; -1 if it did not
}

// Serve forwards a request to an endpoint and returns the whole answer. It returns RefusedError if the request did not
// run and UnknownError if it may have run.
func (c *Control) Serve(ctx context.Context, r Request) (endpoint.Answer, error) {
	started := time.Now()
	team, key, pool, err := c.authorize(r)
	if err != nil {
		c.config.Metrics.refused(r, err)
		return endpoint.Answer{}, err
	}
	end, err := c.inFlight.begin(team, len(r.Body))
	if err != nil {
		c.config.Metrics.refused(r, err)
		return endpoint.Answer{}, err
	}
	defer end()
	if r.IdempotencyKey != "" {
		return c.serveOnce(ctx, r, team, func() (endpoint.Answer, error) { return c.serve(ctx, r, team, key, pool, started) })
	}
	return c.serve(ctx, r, team, key, pool, started)
}

// Check returns the RefusedError of a request whose queue does not exist or whose key has no right to it.
func (c *Control) Check(r Request) error {
	_, _, _, err := c.authorize(r)
	return err
}

// authorize returns the team that a request counts against, the hash of its key, and its pool.
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
	if !q.Accepts(key.Team) && !c.config.DisabledChecks.AcceptAnyKey {
		return "", "", "", RefusedError{Status: statusForbidden, Reason: "the key's team has no right to the queue"}
	}
	return key.Team, key.Hash, q.Pool, nil
}

// serve waits for a worker, runs the request there, and tries other workers while the outcome allows a retry.
func (c *Control) serve(ctx context.Context, r Request, team id.Team, key string, pool id.Pool, started time.Time) (endpoint.Answer, error) {
	t := &ticket{
		item:      queue.Item{Team: team, Class: r.Class, Arrived: started, Deadline: r.Deadline},
		pool:      pool,
		key:       key,
		request:   r.ID,
		needs:     r.Needs,
		placement: make(chan placement, 1),
	}
	c.post(func() { c.admit(time.Now(), t) })
	mayHaveRun := false
	for {
		placement, err := c.awaitPlacement(ctx, t)
		if err != nil && mayHaveRun {
			return endpoint.Answer{}, lostAnswerError()
		}
		if err != nil {
			c.config.Metrics.refused(r, err)
			return endpoint.Answer{}, err
		}
		c.config.Metrics.started(team, r.Class, time.Since(started))
		answer, err := c.run(ctx, r, t, placement)
		o := classify(answer, err)
		mayHaveRun = mayHaveRun || o.kind == unknown
		if c.canRetry(ctx, r, o) {
			c.log.Info("trying another worker", zap.String("request", r.ID), zap.String("worker", string(placement.worker)), zap.Error(err))
			c.post(func() { c.requeue(time.Now(), t, o) })
			continue
		}
		c.post(func() { c.finish(time.Now(), t, o) })
		if mayHaveRun && o.kind != answered {
			err = lostAnswerError()
		}
		return c.finalAnswer(r, team, placement, started, answer, err)
	}
}

// awaitPlacement waits for the placement of a request. If the caller goes away first, the request leaves the wait queue.
func (c *Control) awaitPlacement(ctx context.Context, t *ticket) (placement, error) {
	select {
	case v := <-t.placement:
		return v, v.err
	case <-c.stopped:
		return placement{}, RefusedError{Status: statusUnavailable, Reason: "this instance has stopped"}
	case <-ctx.Done():
	}
	c.post(func() { c.finish(time.Now(), t, outcome{kind: abandoned}) })
	return placement{}, RefusedError{Status: statusTimeout, Reason: "the caller did not wait"}
}

func (c *Control) run(ctx context.Context, r Request, t *ticket, placement placement) (endpoint.Answer, error) {
	if time.Since(placement.at) > placementValidity {
		return endpoint.Answer{}, notSentError{Reason: "this instance was paused"}
	}
	if err := c.prepare(ctx, r); err != nil {
		return endpoint.Answer{}, notSentError{Reason: err.Error()}
	}
	task := endpoint.Task{
		Request: r.ID + "." + uuid.NewString()[:8],
		Team:    t.item.Team,
		Queue:   r.Queue,
		Lease:   c.timing.TaskLease,
		Header:  r.Header,
		Body:    r.Body,
	}
	c.log.Debug("starting", zap.String("request", r.ID), zap.String("attempt", task.Request), zap.String("worker", string(placement.worker)))
	answer, err := c.config.Endpoints.Run(ctx, placement.address, task)
	var lost endpoint.UnknownError
	if errors.As(err, &lost) {
		c.trackLostTask(ctx, t, placement, task)
	}
	return answer, err
}

// prepare calls beforeSend, with a timeout that leaves the placement valid.
func (c *Control) prepare(ctx context.Context, r Request) error {
	if r.beforeSend == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placementValidity)
	defer cancel()
	return r.beforeSend(ctx)
}

// classify returns the outcome of a request on a worker for its answer or error.
func classify(answer endpoint.Answer, err error) outcome {
	var notStarted endpoint.NotStartedError
	var unsent notSentError
	switch {
	case errors.As(err, &unsent):
		return outcome{kind: notSent}
	case err == nil:
		return outcome{kind: answered, failed: answer.Status >= http.StatusInternalServerError, free: answer.Free}
	case errors.As(err, &notStarted) && notStarted.Refused:
		return outcome{kind: refused}
	case errors.As(err, &notStarted):
		return outcome{kind: unreachable}
	}
	return outcome{kind: unknown}
}

// canRetry reports whether a request may be tried on another worker.
func (c *Control) canRetry(ctx context.Context, r Request, o outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	switch o.kind {
	case refused, unreachable, notSent:
		return true
	case unknown:
		return (r.Idempotent || c.config.DisabledChecks.RetryUnknown) && c.background.retries.Allow()
	}
	return false
}

// finalAnswer records the end of a request and returns the answer or error for its caller.
func (c *Control) finalAnswer(r Request, team id.Team, placement placement, started time.Time, answer endpoint.Answer, err error) (endpoint.Answer, error) {
	o := classify(answer, err)
	c.config.Metrics.ended(team, r.Class, o, time.Since(started))
	c.log.Info("request ended",
		zap.String("request", r.ID), zap.String("team", string(team)), zap.String("worker", string(placement.worker)),
		zap.Duration("took", time.Since(started)), zap.Int("status", answer.Status), zap.Error(err))
	switch {
	case o.kind == answered:
		return answer, nil
	case o.kind == unknown && c.config.DisabledChecks.ReportNotRun, o.kind == refused, o.kind == unreachable, o.kind == notSent:
		return endpoint.Answer{}, RefusedError{Status: statusUnavailable, Reason: "no endpoint took the request"}
	}
	return endpoint.Answer{}, lostAnswerError()
}

func lostAnswerError() error {
	return UnknownError{Status: statusBadGateway, Reason: "an endpoint may have run the request and its answer was lost"}
}

// serveOnce runs a request under its idempotency key. The key can be used only once in the whole fleet, unless the
// request did not run.
func (c *Control) serveOnce(ctx context.Context, r Request, team id.Team, serve func() (endpoint.Answer, error)) (endpoint.Answer, error) {
	a := attempt.Attempt{
		Key: attempt.Key{Team: team, Value: r.IdempotencyKey}, ID: uuid.NewString(),
		Holder: c.Member(), State: attempt.Open, At: time.Now(),
	}
	if c.config.DisabledChecks.IgnoreIdempotencyKeys {
		return serve()
	}
	if err := c.reserve(ctx, a); err != nil {
		return endpoint.Answer{}, err
	}
	answer, err := serve()
	a.State = attemptState(err)
	c.finishAttempt(a)
	return answer, err
}

func attemptState(err error) attempt.State {
	var refusal RefusedError
	switch {
	case err == nil:
		return attempt.Answered
	case errors.As(err, &refusal):
		return attempt.NotRun
	}
	return attempt.Unknown
}
