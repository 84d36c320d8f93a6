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
)

// Server serves requests and tasks; entry.Control is one.
type Server interface {
	Serve(ctx context.Context, r entry.Request) (endpoint.Answer, error)
	Submit(ctx context.Context, r entry.Request) (task.Task, error)
	Task(ctx context.Context, secret string, ask peer.TaskRequest) (task.Task, error)
}

// Config holds what a Handler needs.
type Config struct {
	Server Server
	Ready  func() bool // whether the balancer may send callers here
	// BodyTimeout bounds the reading of one body; zero means half a minute.
	BodyTimeout time.Duration
}

// Handler takes requests of callers.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// NewHandler returns the handler for callers and the balancer.
func NewHandler(c Config) *Handler {
	if c.BodyTimeout == 0 {
		c.BodyTimeout = defaultBodyTimeout
	}
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/queues/{queue}", h.serve)
	h.mux.HandleFunc("POST /v1/queues/{queue}/tasks", h.submit)
	h.mux.HandleFunc("GET /v1/tasks/{task}", h.watch)
	h.mux.HandleFunc("GET /v1/tasks/{task}/answer", h.collect)
	h.mux.HandleFunc("DELETE /v1/tasks/{task}", h.cancel)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	request, problem := h.read(w, r)
	w.Header().Set("Request-Id", request.ID)
	if problem != nil {
		problem.write(w)
		return
	}
	answer, err := h.config.Server.Serve(r.Context(), request)
	if err != nil {
		explain(err).write(w)
		return
	}
	write(w, answer)
}

// read takes the request apart and names the first thing wrong with it.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (entry.Request, *Problem) {
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
		return request, refusal(http.StatusBadRequest, "Class is neither urgent nor overnight")
	}
	if len(request.IdempotencyKey) > maxKeyLength {
		return request, refusal(http.StatusBadRequest, "Idempotency-Key is longer than 200 bytes")
	}
	wait, ok := deadline(r.Header.Get("Deadline"))
	if !ok {
		return request, refusal(http.StatusBadRequest, "Deadline is not a time such as 3s, up to 24h")
	}
	request.Deadline = time.Now().Add(wait)
	if request.Secret, ok = secret(r.Header.Get("Authorization")); !ok {
		return request, refusal(http.StatusUnauthorized, "Authorization is not of the form Bearer KEY")
	}
	if request.Needs, ok = needs(r.Header); !ok {
		return request, refusal(http.StatusBadRequest, "a Needs- header is not a whole number")
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return request, refusal(http.StatusRequestEntityTooLarge, "the body did not arrive whole within 1 MiB and in time")
	}
	request.Body = body
	if kind := r.Header.Get("Content-Type"); kind != "" {
		request.Header.Set("Content-Type", kind)
	}
	return request, nil
}

// readBody reads a body in bounded time; the bound is for the body only and taken off afterwards.
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

// needs reads what a request declares that a worker must have.
func needs(h http.Header) (entry.Needs, bool) {
	var n entry.Needs
	whole := true
	number := func(name string) int64 {
		text := h.Get(name)
		if text == "" {
			return 0
		}
		value, err := strconv.ParseInt(text, 10, 64)
		whole = whole && err == nil && value >= 0
		return value
	}
	n.Processors = int(number("Needs-Processors"))
	n.MemoryBytes = number("Needs-Memory")
	n.Accelerators = int(number("Needs-Accelerators"))
	return n, whole
}

func deadline(text string) (time.Duration, bool) {
	if text == "" {
		return defaultDeadline, true
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d > 0 && d <= maxDeadline
}

func secret(authorization string) (string, bool) {
	if authorization == "" {
		return "", true
	}
	value, ok := strings.CutPrefix(authorization, "Bearer ")
	return value, ok && value != ""
}

// write passes an endpoint's whole answer on.
func write(w http.ResponseWriter, answer endpoint.Answer) {
	if kind := answer.Header.Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// Outcomes that a problem names.
const (
	NotRun  = "not run"
	Unknown = "unknown"
	Ran     = "ran"
)

// Problem is an application/problem+json answer.
type Problem struct {
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	Outcome    string        `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

func refusal(status int, detail string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Detail: detail, Outcome: NotRun}
}

// explain turns an error of the server into a problem.
func explain(err error) *Problem {
	var refused entry.RefusedError
	if errors.As(err, &refused) {
		p := refusal(refused.Status, refused.Reason)
		p.RetryAfter = refused.RetryAfter
		return p
	}
	var unknown entry.UnknownError
	if errors.As(err, &unknown) {
		p := refusal(unknown.Status, unknown.Reason)
		p.Outcome = Unknown
		if unknown.Ran {
			p.Outcome = Ran
		}
		return p
	}
	p := refusal(http.StatusInternalServerError, "an unexpected fault")
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
