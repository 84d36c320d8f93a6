package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/task"
)

// fakeServer is a Server that returns a fixed answer or error and records the last request.
type fakeServer struct {
	answer  endpoint.Answer
	err     error
	check   error // for the queue and the key
	request entry.Request
}

func (f *fakeServer) Check(entry.Request) error { return f.check }

func (f *fakeServer) Serve(_ context.Context, r entry.Request) (endpoint.Answer, error) {
	f.request = r
	return f.answer, f.err
}

func (f *fakeServer) Submit(_ context.Context, r entry.Request) (task.Task, error) {
	f.request = r
	return task.Task{ID: "e@1.x", State: task.Waiting}, f.err
}

func (f *fakeServer) Task(context.Context, string, peer.TaskRequest) (task.Task, error) {
	return task.Task{ID: "e@1.x", State: task.Unknown, Detail: "lost"}, f.err
}

func serve(f *fakeServer, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	NewHandler(Config{Server: f, Ready: func() bool { return true }}).ServeHTTP(w, r)
	return w
}

func TestProblems(t *testing.T) {
	tests := []struct {
		name    string
		header  http.Header
		err     error
		status  int
		outcome string
	}{
		{"bad class", http.Header{"Class": {"soon"}}, nil, 400, NotRun},
		{"bad deadline", http.Header{"Deadline": {"-1s"}}, nil, 400, NotRun},
		{"deadline too far", http.Header{"Deadline": {"25h"}}, nil, 400, NotRun},
		{"bad key", http.Header{"Authorization": {"Basic x"}}, nil, 401, NotRun},
		{"long idempotency key", http.Header{"Idempotency-Key": {strings.Repeat("x", 201)}}, nil, 400, NotRun},
		{"refused", nil, entry.RefusedError{Status: 503, Reason: "full", RetryAfter: 1500 * time.Millisecond}, 503, NotRun},
		{"unknown", nil, entry.UnknownError{Status: 502, Reason: "lost"}, 502, Unknown},
		{"ran", nil, entry.UnknownError{Status: 409, Ran: true, Reason: "used"}, 409, Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/queues/q", strings.NewReader("x"))
			for name, values := range tt.header {
				r.Header[name] = values
			}
			w := serve(&fakeServer{err: tt.err}, r)
			var p Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatal(err)
			}
			if w.Code != tt.status || p.Outcome != tt.outcome || w.Header().Get("Request-Id") == "" {
				t.Errorf("answered %d %q, want %d %q", w.Code, p.Outcome, tt.status, tt.outcome)
			}
		})
	}
}

func TestRetryAfterIsWholeSeconds(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q", strings.NewReader("x"))
	w := serve(&fakeServer{err: entry.RefusedError{Status: 503, RetryAfter: 1500 * time.Millisecond}}, r)
	if got := w.Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After is %q, want 2", got)
	}
}

func TestLargeBodyIsRejected(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q", strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)))
	if w := serve(&fakeServer{}, r); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %d, want 413", w.Code)
	}
}

// slowServer is a Server that answers after 400 ms, or fails if the request's context ends first.
type slowServer struct{ fakeServer }

func (*slowServer) Serve(ctx context.Context, _ entry.Request) (endpoint.Answer, error) {
	select {
	case <-ctx.Done():
		return endpoint.Answer{}, entry.RefusedError{Status: 504, Reason: "the caller did not wait"}
	case <-time.After(400 * time.Millisecond):
		return endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}, nil
	}
}

func TestBodyTimeoutDoesNotBoundAnswer(t *testing.T) {
	h := NewHandler(Config{Server: &slowServer{}, Ready: func() bool { return true }, BodyTimeout: 100 * time.Millisecond})
	s := httptest.NewServer(h)
	defer s.Close()
	response, err := http.Post(s.URL+"/v1/queues/q", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Errorf("a request that took longer than BodyTimeout was answered with %d, want 200", response.StatusCode)
	}
}

func TestEndlessBodyIsRejected(t *testing.T) {
	h := NewHandler(Config{Server: &slowServer{}, Ready: func() bool { return true }, BodyTimeout: 100 * time.Millisecond})
	s := httptest.NewServer(h)
	defer s.Close()
	body, end := io.Pipe()
	defer func() { _ = end.Close() }()
	response, err := http.Post(s.URL+"/v1/queues/q", "text/plain", body)
	if err != nil {
		return // the server closed the connection, which rejects the request as well
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %d, want 413", response.StatusCode)
	}
}

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// TestBodyOfCallerWithoutRightIsNotRead guards against bodies that are held for callers without a key.
func TestBodyOfCallerWithoutRightIsNotRead(t *testing.T) {
	for _, path := range []string{"/v1/queues/q", "/v1/queues/q/tasks"} {
		r := httptest.NewRequest(http.MethodPost, path, unreadBody{t})
		w := serve(&fakeServer{check: entry.RefusedError{Status: http.StatusUnauthorized, Reason: "the queue needs a key"}}, r)
		if w.Code != http.StatusUnauthorized || !strings.Contains(w.Body.String(), `"outcome":"not run"`) {
			t.Errorf("%s answered %d %s, want 401 and not run", path, w.Code, w.Body)
		}
	}
}

// TestBodyThatHadToMakeRoom guards against a status in the problem that differs from that of the response.
func TestBodyThatHadToMakeRoom(t *testing.T) {
	body := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(intake.RejectedError{Reason: intake.NoMemory}))
	w := serve(&fakeServer{}, httptest.NewRequest(http.MethodPost, "/v1/queues/q", body))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" || !strings.Contains(w.Body.String(), `"outcome":"not run"`) {
		t.Errorf("answered %d, Retry-After %q, %s; want 503, 1 and not run", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
}

func TestUnknownTaskAnswerReportsUnknownOutcome(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/v1/tasks/e@1.x/answer", nil)
	r.Header.Set("Authorization", "Bearer secret")
	w := serve(&fakeServer{}, r)
	if w.Code != http.StatusConflict || !strings.Contains(w.Body.String(), `"outcome":"unknown"`) {
		t.Errorf("answered %d %s", w.Code, w.Body)
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("urgent", "3s", "Bearer x", "key", "body")
	f.Add("", "", "", "", "")
	f.Fuzz(func(t *testing.T, class, deadline, authorization, key, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/queues/q", strings.NewReader(body))
		r.Header.Set("Class", class)
		r.Header.Set("Deadline", deadline)
		r.Header.Set("Authorization", authorization)
		r.Header.Set("Idempotency-Key", key)
		server := &fakeServer{answer: endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}}
		w := serve(server, r)
		switch {
		case w.Code == http.StatusOK && (string(server.request.Body) != body || server.request.IdempotencyKey != key):
			t.Fatalf("the server received %+v", server.request)
		case w.Code != http.StatusOK && !strings.Contains(w.Body.String(), `"outcome":"not run"`):
			t.Fatalf("rejected with %d %s, want outcome not run", w.Code, w.Body)
		}
	})
}
