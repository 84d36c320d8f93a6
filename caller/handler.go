package caller

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/task"
)

// Bounds on one request of a caller.
const (
	MaxBodyBytes    = 1 << 20
	maxDeadline     = 24 * time.Hour
	defaultDeadline = 30 * time.Second
	maxKeyLength    = 200 // bytes of an idempotency key

	defaultBodyTimeout = 30 * time.Second
	bodyRetry          = time.Second // after which a caller whose body had to make room may come back
)

// Server serves requests and tasks; entry.Control implements it.
type Server interface {
	// Check returns the error with which a request would be rejected for its queue or its key, whatever its body is.
	Check(r entry.Request) error
	Serve(ctx context.Context, r entry.Request) (endpoint.Answer, error)
	Submit(ctx context.Context, r entry.Request) (task.Task, error)
	Task(ctx context.Context, secret string, request peer.TaskRequest) (task.Task, error)
}

// Config configures a Handler.
type Config struct {
	Server Server
	Ready  func() bool // reports whether the load balancer may send callers to this instance
	// BodyTimeout bounds the time to read one body; 0 means 30 s.
	BodyTimeout time.Duration
}

// Handler handles requests of callers.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// NewHandler returns the handler of callers' requests and of the load balancer's probes.
func NewHandler(c Config) *Handler {
	if c.BodyTimeout == 0 {
		c.BodyTimeout = defaultBodyTimeout
	}
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/queues/{queue}", h.serve)
	h.mux.HandleFunc("POST /v1/queues/{queue}/tasks", h.submit)
	h.mux.HandleFunc("GET /v1/tasks/{task}", h.taskStatus)
	h.mux.HandleFunc("GET /v1/tasks/{task}/answer", h.taskAnswer)
	h.mux.HandleFunc("DELETE /v1/tasks/{task}", h.cancel)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return h
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	request, problem := h.parseRequest(w, r)
	w.Header().Set("Request-Id", request.ID)
	if problem != nil {
		problem.write(w)
		return
	}
	answer, err := h.config.Server.Serve(r.Context(), request)
	if err != nil {
		problemFor(err).write(w)
		return
	}
	writeAnswer(w, answer)
}

// parseRequest decodes a request and returns a problem for the first invalid part.
func (h *Handler) parseRequest(w http.ResponseWriter, r *http.Request) (entry.Request, *Problem) {
	request := entry.Request{
		ID:             uuid.NewString(),
		Queue:          id.Queue(r.PathValue("queue")),
		Class:          queue.Class(r.Header.Get("Class")),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Idempotent:     r.Header.Get("Idempotent") == "true",
		Header:         http.Header{},
	}
	if request.Class == "" {
		request.Class = queue.Urgent
	}
	if request.Class != queue.Urgent && request.Class != queue.Overnight {
		return request, newProblem(http.StatusBadRequest, "Class is neither urgent nor overnight")
	}
	if len(request.IdempotencyKey) > maxKeyLength {
		return request, newProblem(http.StatusBadRequest, "Idempotency-Key is longer than 200 bytes")
	}
	wait, ok := parseDeadline(r.Header.Get("Deadline"))
	if !ok {
		return request, newProblem(http.StatusBadRequest, "Deadline is not a time such as 3s, up to 24h")
	}
	request.Deadline = time.Now().Add(wait)
	if request.Secret, ok = parseAuthorization(r.Header.Get("Authorization")); !ok {
		return request, newProblem(http.StatusUnauthorized, "Authorization is not of the form Bearer KEY")
	}
	if request.Needs, ok = parseNeeds(r.Header); !ok {
		return request, newProblem(http.StatusBadRequest, "a Needs- header is not a whole number")
	}
	if err := h.config.Server.Check(request); err != nil {
		return request, problemFor(err)
	}
	body, err := h.readBody(w, r)
	var rejected intake.RejectedError
	switch {
	case errors.As(err, &rejected):
		p := newProblem(http.StatusServiceUnavailable, rejected.Error())
		p.RetryAfter = bodyRetry
		return request, p
	case err != nil:
		return request, newProblem(http.StatusRequestEntityTooLarge, "the body did not arrive whole within 1 MiB and in time")
	}
	request.Body = body
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	return request, nil
}

// readBody reads a body within BodyTimeout; the read deadline is removed afterwards, since it is for the body only.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	deadlines := http.NewResponseController(w)
	_ = deadlines.SetReadDeadline(time.Now().Add(h.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, errors.Annotate(err, "reading the body")
	}
	_ = deadlines.SetReadDeadline(time.Time{})
	return body, nil
}

// parseNeeds returns the resources that a request requires of a worker.
func parseNeeds(h http.Header) (entry.Needs, bool) {
	var n entry.Needs
	valid := true
	number := func(name string) int64 {
		text := h.Get(name)
		if text == "" {
			return 0
		}
		value, err := strconv.ParseInt(text, 10, 64)
		valid = valid && err == nil && value >= 0
		return value
	}
	n.Processors = int(number("Needs-Processors"))
	n.MemoryBytes = number("Needs-Memory")
	n.Accelerators = int(number("Needs-Accelerators"))
	return n, valid
}

func parseDeadline(text string) (time.Duration, bool) {
	if text == "" {
		return defaultDeadline, true
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d > 0 && d <= maxDeadline
}

func parseAuthorization(authorization string) (string, bool) {
	if authorization == "" {
		return "", true
	}
	value, ok := strings.CutPrefix(authorization, "Bearer ")
	return value, ok && value != ""
}

// writeAnswer writes an endpoint's answer, whose body is complete.
func writeAnswer(w http.ResponseWriter, answer endpoint.Answer) {
	if contentType := answer.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// Outcomes of a request in a problem.
const (
	NotRun  = "not run"
	Unknown = "unknown"
	Ran     = "ran"
)

// Problem is an application/problem+json response.
type Problem struct {
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	Outcome    string        `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

// newProblem returns a problem of a request that did not run.
func newProblem(status int, detail string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Detail: detail, Outcome: NotRun}
}

// problemFor converts an error of the server to a problem.
func problemFor(err error) *Problem {
	var refused entry.RefusedError
	if errors.As(err, &refused) {
		p := newProblem(refused.Status, refused.Reason)
		p.RetryAfter = refused.RetryAfter
		return p
	}
	var unknown entry.UnknownError
	if errors.As(err, &unknown) {
		p := newProblem(unknown.Status, unknown.Reason)
		p.Outcome = Unknown
		if unknown.Ran {
			p.Outcome = Ran
		}
		return p
	}
	p := newProblem(http.StatusInternalServerError, "an unexpected fault")
	p.Outcome = Unknown
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
