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
	Healthy   EndpointFault = ""
	Refuses   EndpointFault = "refuses"   // answers that it did not start the task
	DiesEarly EndpointFault = "early"     // the connection breaks before the task starts
	DiesLate  EndpointFault = "late"      // the task runs and the connection breaks without an answer
	Truncates EndpointFault = "truncates" // the answer's body is cut
	Crosses   EndpointFault = "crosses"   // the answer carries another request's id
	Fails     EndpointFault = "fails"     // every task fails at once with status 500
	Hangs     EndpointFault = "hangs"     // the task starts and never ends
	Delays    EndpointFault = "delays"    // answers leave late, after the task has ended
)

// Run is one task as the endpoint saw it.
type Run struct {
	Request    string
	Team       id.Team
	Queue      id.Queue
	Body       string
	Instance   id.Instance
	DataCentre id.DataCentre
	Started    time.Time
	Ended      time.Time // zero while it runs
	CutOff     bool      // a reboot ended it
}

// Journal keeps what all endpoints ran, for checks that do not rest on the entries' books.
type Journal struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns a copy of everything that ran.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]Run, 0, len(j.runs))
	for _, run := range j.runs {
		runs = append(runs, *run)
	}
	return runs
}

// EndpointConfig holds what an Endpoint needs.
type EndpointConfig struct {
	Instance   id.Instance
	DataCentre id.DataCentre
	Slots      int
	Journal    *Journal
	// Work returns how long a task with a body runs.
	Work func(body string) time.Duration
}

// Endpoint is one worker; it serves HTTP.
type Endpoint struct {
	config EndpointConfig

	mu      sync.Mutex
	fault   EndpointFault
	down    bool
	running map[string]*task
}

// task is one task that runs.
type task struct {
	run    *Run
	stop   chan struct{}
	lease  *time.Timer
	length time.Duration
}

// NewEndpoint returns a worker that is ready.
func NewEndpoint(c EndpointConfig) *Endpoint {
	return &Endpoint{config: c, running: map[string]*task{}}
}

// SetFault sets how the worker misbehaves from now on.
func (e *Endpoint) SetFault(f EndpointFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Reboot stops the worker for a time; what still runs is cut off, which the journal notes.
func (e *Endpoint) Reboot(takes time.Duration) {
	e.Down()
	time.AfterFunc(takes, e.Start)
}

// Down stops the worker; what still runs is cut off, which the journal notes.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for request, t := range e.running {
		e.end(request, t, true)
	}
}

// Start brings a stopped worker back.
func (e *Endpoint) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// end notes the end of a task; the caller holds the lock.
func (e *Endpoint) end(request string, t *task, cutOff bool) {
	if e.running[request] != t {
		return
	}
	delete(e.running, request)
	close(t.stop)
	t.lease.Stop()
	e.config.Journal.mu.Lock()
	defer e.config.Journal.mu.Unlock()
	t.run.Ended = time.Now()
	t.run.CutOff = cutOff
}

// ServeHTTP serves one call of an entry instance.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" {
		e.takeFault(w, r)
		return
	}
	e.mu.Lock()
	down, fault := e.down, e.fault
	e.mu.Unlock()
	if down || fault == DiesEarly {
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

// takeFault sets the fault that a body names; an empty one makes the worker healthy again.
func (e *Endpoint) takeFault(w http.ResponseWriter, r *http.Request) {
	name, err := io.ReadAll(io.LimitReader(r.Body, maxFaultName))
	f := EndpointFault(strings.TrimSpace(string(name)))
	switch f {
	case Healthy, Refuses, DiesEarly, DiesLate, Truncates, Crosses, Fails, Hangs, Delays:
	default:
		err = errors.NotValidf("fault %q", f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

// maxFaultName bounds the name of a fault, in bytes.
const maxFaultName = 64

func (e *Endpoint) renew(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.running[request]; ok {
		t.lease.Reset(t.length)
	}
}

func (e *Endpoint) cancel(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.running[request]; ok {
		e.end(request, t, false)
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, fault EndpointFault) {
	body, err := io.ReadAll(r.Body)
	request := r.Header.Get(endpoint.RequestHeader)
	w.Header().Set(endpoint.RequestHeader, request)
	if err != nil {
		return
	}
	t := e.begin(r, request, string(body), fault)
	if t == nil {
		w.Header().Set(endpoint.RefusedHeader, "no free slot")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.work(r.Context(), t, string(body), fault)
	e.mu.Lock()
	whole := e.running[request] == t
	e.end(request, t, false)
	free := e.config.Slots - len(e.running)
	e.mu.Unlock()
	if fault == Delays {
		_ = sleep(r.Context(), answerDelay)
	}
	if !whole || fault == DiesLate {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, string(body), free, fault)
}

// begin starts a task, or returns nil when the worker has no free slot for it.
func (e *Endpoint) begin(r *http.Request, request, body string, fault EndpointFault) *task {
	length, _ := time.ParseDuration(r.Header.Get(endpoint.LeaseHeader))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || fault == Refuses || len(e.running) >= e.config.Slots || length <= 0 {
		return nil
	}
	run := &Run{
		Request: request, Team: id.Team(r.Header.Get(endpoint.TeamHeader)), Queue: id.Queue(r.Header.Get(endpoint.QueueHeader)),
		Body: body, Instance: e.config.Instance, DataCentre: e.config.DataCentre, Started: time.Now(),
	}
	t := &task{run: run, stop: make(chan struct{}), length: length}
	t.lease = time.AfterFunc(length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(request, t, false)
	})
	e.running[request] = t
	e.config.Journal.mu.Lock()
	e.config.Journal.runs = append(e.config.Journal.runs, run)
	e.config.Journal.mu.Unlock()
	return t
}

func (e *Endpoint) work(ctx context.Context, t *task, body string, fault EndpointFault) {
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
	case <-t.stop:
	case <-ctx.Done():
		// A worker does not learn that nobody waits any more; the task runs on to its end or lease.
		select {
		case <-done:
		case <-t.stop:
		}
	}
}

func (e *Endpoint) answer(w http.ResponseWriter, body string, free int, fault EndpointFault) {
	w.Header().Set(endpoint.FreeHeader, strconv.Itoa(free))
	answer := Answer(body)
	switch fault {
	case Crosses:
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

// answerDelay is how late an endpoint with the fault Delays answers.
const answerDelay = 2 * time.Second

// Answer returns the whole answer that a worker gives to a body.
func Answer(body string) string { return "done: " + body + "\n" }
