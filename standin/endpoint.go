package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
)

// EndpointFault is how an Endpoint misbehaves.
type EndpointFault string

// Faults of an endpoint.
const (
	Healthy            EndpointFault = ""
	Refuses            EndpointFault = "refuses"   // the worker answers that it did not start the task
	BreaksBeforeStart  EndpointFault = "early"     // the connection breaks before the task starts
	BreaksBeforeAnswer EndpointFault = "late"      // the task runs and the connection breaks without an answer
	Truncates          EndpointFault = "truncates" // the answer's body is truncated
	WrongRequestID     EndpointFault = "crosses"   // the answer carries another request's id
	Fails              EndpointFault = "fails"     // every task fails at once with status 500
	Hangs              EndpointFault = "hangs"     // the task starts and never ends
	Delays             EndpointFault = "delays"    // answers are sent answerDelay after the task has ended
)

// Run is one run of a task as recorded by the endpoint.
type Run struct {
	Request    string
	Team       id.Team
	Queue      id.Queue
	Body       string
	Instance   id.Instance
	DataCentre id.DataCentre
	Started    time.Time
	Ended      time.Time // zero while the task runs
	CutOff     bool      // whether a stop of the worker ended the run
}

// Journal records the runs of all endpoints, so that checks need not rely on the records of the entry instances.
type Journal struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns a copy of all recorded runs.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]Run, 0, len(j.runs))
	for _, run := range j.runs {
		runs = append(runs, *run)
	}
	return runs
}

// EndpointConfig holds the options of an Endpoint.
type EndpointConfig struct {
	Instance   id.Instance
	DataCentre id.DataCentre
	Slots      int
	Journal    *Journal
	// Work returns how long a task with the given body runs.
	Work func(body string) time.Duration
}

// Endpoint is a fake worker. It implements http.Handler.
type Endpoint struct {
	config EndpointConfig

	mu      sync.Mutex
	fault   EndpointFault
	down    bool
	running map[string]*task
}

// task is one running task.
type task struct {
	run           *Run
	stopped       chan struct{}
	lease         *time.Timer
	leaseDuration time.Duration
}

// NewEndpoint returns a worker without faults that is ready.
func NewEndpoint(c EndpointConfig) *Endpoint {
	return &Endpoint{config: c, running: map[string]*task{}}
}

// SetFault sets how the worker misbehaves from now on.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Reboot stops the worker for the given duration. Tasks that are still running are recorded as cut off in the journal.
func (e *Endpoint) Reboot(duration time.Duration) {
	e.Down()
	time.AfterFunc(duration, e.Start)
}

// Down stops the worker. Tasks that are still running are recorded as cut off in the journal.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for request, t := range e.running {
		e.endTask(request, t, true)
	}
}

// Start starts a stopped worker again.
func (e *Endpoint) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// endTask records the end of a task. The caller holds the lock.
func (e *Endpoint) endTask(request string, t *task, cutOff bool) {
	if e.running[request] != t {
		return
	}
	delete(e.running, request)
	close(t.stopped)
	t.lease.Stop()
	e.config.Journal.mu.Lock()
	defer e.config.Journal.mu.Unlock()
	t.run.Ended = time.Now()
	t.run.CutOff = cutOff
}

// ServeHTTP serves one call of an entry instance, or a request that sets a fault.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		e.handleFault(w, r)
		return
	}
	e.mu.Lock()
	down, fault := e.down, e.fault
	e.mu.Unlock()
	if down || fault == BreaksBeforeStart {
		panic(http.ErrAbortHandler)
	}
	name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	switch {
	case r.URL.Path == "/ready":
	case strings.HasPrefix(r.URL.Path, "/renew/"):
		e.renew(name)
	case strings.HasPrefix(r.URL.Path, "/cancel/"):
		e.cancel(name)
	default:
		e.serve(w, r, fault)
	}
}

// handleFault sets the fault named by the request body. An empty body makes the worker healthy again.
func (e *Endpoint) handleFault(w http.ResponseWriter, r *http.Request) {
	name, err := io.ReadAll(io.LimitReader(r.Body, maxFaultName))
	f := EndpointFault(strings.TrimSpace(string(name)))
	switch f {
	case Healthy, Refuses, BreaksBeforeStart, BreaksBeforeAnswer, Truncates, WrongRequestID, Fails, Hangs, Delays:
	default:
		err = errors.NotValidf("fault %q", f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

// maxFaultName bounds the length of a fault's name, in bytes.
const maxFaultName = 64

func (e *Endpoint) renew(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.running[request]; ok {
		t.lease.Reset(t.leaseDuration)
	}
}

func (e *Endpoint) cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.running[request]; ok {
		e.endTask(request, t, false)
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, fault EndpointFault) {
	body, err := io.ReadAll(r.Body)
	request := r.Header.Get(endpoint.RequestHeader)
	w.Header().Set(endpoint.RequestHeader, request)
	if err != nil {
		return
	}
	t := e.startTask(r, request, string(body), fault)
	if t == nil {
		w.Header().Set(endpoint.RefusedHeader, "no free slot")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.simulateWork(r.Context(), t, string(body), fault)
	e.mu.Lock()
	finished := e.running[request] == t
	e.endTask(request, t, false)
	free := e.config.Slots - len(e.running)
	e.mu.Unlock()
	if fault == Delays {
		_ = sleep(r.Context(), answerDelay)
	}
	if !finished || fault == BreaksBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, string(body), free, fault)
}

// startTask starts a task. It returns nil if the worker is down, refuses tasks or has no free slot, or if the request
// has no lease.
func (e *Endpoint) startTask(r *http.Request, request, body string, fault EndpointFault) *task {
	leaseDuration, _ := time.ParseDuration(r.Header.Get(endpoint.LeaseHeader))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || fault == Refuses || len(e.running) >= e.config.Slots || leaseDuration <= 0 {
		return nil
	}
	run := &Run{
		Request: request, Team: id.Team(r.Header.Get(endpoint.TeamHeader)), Queue: id.Queue(r.Header.Get(endpoint.QueueHeader)),
		Body: body, Instance: e.config.Instance, DataCentre: e.config.DataCentre, Started: time.Now(),
	}
	t := &task{run: run, stopped: make(chan struct{}), leaseDuration: leaseDuration}
	t.lease = time.AfterFunc(leaseDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endTask(request, t, false)
	})
	e.running[request] = t
	e.config.Journal.mu.Lock()
	e.config.Journal.runs = append(e.config.Journal.runs, run)
	e.config.Journal.mu.Unlock()
	return t
}

func (e *Endpoint) simulateWork(ctx context.Context, t *task, body string, fault EndpointFault) {
	if fault == Fails {
		return
	}
	timer := time.NewTimer(e.config.Work(body))
	defer timer.Stop()
	done := timer.C
	if fault == Hangs {
		done = nil
	}
	select {
	case <-done:
	case <-t.stopped:
	case <-ctx.Done():
		// A worker does not notice that the caller is gone, so the task runs until it ends or its lease expires.
		select {
		case <-done:
		case <-t.stopped:
		}
	}
}

func (e *Endpoint) answer(w http.ResponseWriter, body string, free int, fault EndpointFault) {
	w.Header().Set(endpoint.FreeHeader, strconv.Itoa(free))
	answer := Answer(body)
	switch fault {
	case WrongRequestID:
		w.Header().Set(endpoint.RequestHeader, "another")
	case Truncates:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case Fails:
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, answer)
}

// answerDelay is the delay of an answer under the fault Delays.
const answerDelay = 2 * time.Second

// Answer returns the complete answer of a worker to a request body.
func Answer(body string) string { return "done: " + body + "\n" }
