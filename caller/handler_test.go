package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/task"
)

// fake is a server that answers with what it was told to.
type fake struct {
	answer endpoint.Answer
	err    error
	got    entry.Request
}

func (f *fake) Serve(_ context.Context, r entry.Request) (endpoint.Answer, error) {
	f.got = r
	return f.answer, f.err
}

func (f *fake) Submit(_ context.Context, r entry.Request) (task.Task, error) {
	f.got = r
	return task.Task{ID: "e@1.x", State: task.Waiting}, f.err
}

func (f *fake) Task(context.Context, string, peer.TaskRequest) (task.Task, error) {
	return task.Task{ID: "e@1.x", State: task.Unknown, Detail: "lost"}, f.err
}

func serve(f *fake, r *http.Request) *httptest.ResponseRecorder {
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
			w := serve(&fake{err: tt.err}, r)
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
	w := serve(&fake{err: entry.RefusedError{Status: 503, RetryAfter: 1500 * time.Millisecond}}, r)
	if got := w.Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After is %q, want 2", got)
	}
}

func TestALargeBodyIsRefused(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q", strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)))
	if w := serve(&fake{}, r); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %d, want 413", w.Code)
	}
}

// slow is a server that takes its time and reports whether its caller went away meanwhile.
type slow struct{ fake }

func (*slow) Serve(ctx context.Context, _ entry.Request) (endpoint.Answer, error) {
	select {
	case <-ctx.Done():
		return endpoint.Answer{}, entry.RefusedError{Status: 504, Reason: "the caller did not wait"}
	case <-time.After(400 * time.Millisecond):
		return endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}, nil
	}
}

func TestTimeToReadABodyDoesNotBoundItsAnswer(t *testing.T) {
	h := NewHandler(Config{Server: &slow{}, Ready: func() bool { return true }, BodyTimeout: 100 * time.Millisecond})
	s := httptest.NewServer(h)
	defer s.Close()
	response, err := http.Post(s.URL+"/v1/queues/q", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Errorf("a request that took longer than its body may take answered %d", response.StatusCode)
	}
}

func TestABodyThatNeverEndsIsRefused(t *testing.T) {
	h := NewHandler(Config{Server: &slow{}, Ready: func() bool { return true }, BodyTimeout: 100 * time.Millisecond})
	s := httptest.NewServer(h)
	defer s.Close()
	body, end := io.Pipe()
	defer func() { _ = end.Close() }()
	response, err := http.Post(s.URL+"/v1/queues/q", "text/plain", body)
	if err != nil {
		return // the connection was closed on the caller, which is as good
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %d, want 413", response.StatusCode)
	}
}

func TestAnUnknownTaskSaysSo(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/v1/tasks/e@1.x/answer", nil)
	r.Header.Set("Authorization", "Bearer secret")
	w := serve(&fake{}, r)
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
		server := &fake{answer: endpoint.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("done")}}
		w := serve(server, r)
		switch {
		case w.Code == http.StatusOK && (string(server.got.Body) != body || server.got.IdempotencyKey != key):
			t.Fatalf("the server got %+v", server.got)
		case w.Code != http.StatusOK && !strings.Contains(w.Body.String(), `"outcome":"not run"`):
			t.Fatalf("refused with %d %s", w.Code, w.Body)
		}
	})
}
