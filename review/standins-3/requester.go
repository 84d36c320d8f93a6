package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// deadline is how long requesters wait for a response.
const deadline = 3 * time.Second

// maxTries is how often a requester sends a call.
const maxTries = 5

// requester sends calls to the instances.
type requester struct {
	world  *world
	client *http.Client
}

func newRequester(w *world) *requester {
	return &requester{world: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answer is what a requester got; the status is 0 without a response.
type answer struct {
	status int
	state  string
	retry  time.Duration
}

func (q *requester) call(n *node, method string, of *queue, key, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+of.prefix+id, strings.NewReader(string(body)))
	if err != nil {
		return answer{}
	}
	request.Host = of.host
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Marigoldshed-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := q.client.Do(request)
	if err != nil {
		return answer{}
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return answer{}
	}
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &b)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return answer{status: response.StatusCode, state: b.State, retry: time.Duration(seconds) * time.Second}
}

// pick returns an instance by chance.
func (w *world) pick() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[w.random.IntN(len(w.nodes))]
}

// submit hands a job in, again after no answer, and reports whether it was accepted.
func (q *requester) submit(j *job) bool {
	w := q.world
	body, _ := json.Marshal(j)
	for range maxTries {
		n := w.pick()
		a := q.call(n, http.MethodPost, j.queue, j.tenant.key, j.id, body)
		w.mu.Lock()
		j.attempts++
		w.note("POST %s at %s: %d", j.id, n.name, a.status)
		accepted := a.status >= 200 && a.status < 300
		if accepted {
			j.accepted = w.now()
		}
		if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
			j.refused++
		}
		w.mu.Unlock()
		if accepted {
			return true
		}
		time.Sleep(max(200*time.Millisecond, a.retry))
	}
	return false
}

// cancel cancels a job, again until it is confirmed.
func (q *requester) cancel(j *job) {
	w := q.world
	w.mu.Lock()
	j.cancelSent = true
	w.mu.Unlock()
	for range maxTries {
		n := w.pick()
		a := q.call(n, http.MethodDelete, j.queue, j.tenant.key, j.id, nil)
		w.say("DELETE %s at %s: %d", j.id, n.name, a.status)
		if a.status >= 200 && a.status < 300 || a.status == http.StatusGone {
			w.mu.Lock()
			j.cancelled = w.now()
			w.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// look asks for the state of a job.
func (q *requester) look(j *job) {
	w := q.world
	n := w.pick()
	asked := w.now()
	a := q.call(n, http.MethodGet, j.queue, j.tenant.key, j.id, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.status != http.StatusOK {
		w.note("GET %s at %s: %d", j.id, n.name, a.status)
	}
	if a.status == http.StatusGone && j.accepted > 0 && !j.cancelSent && asked > j.accepted+visibleTime {
		w.broke("LOST", "the accepted job %s is answered 410 by %s", j.id, n.name)
	}
	if a.status != http.StatusOK {
		return
	}
	if a.state != j.state {
		w.note("GET %s at %s: %s", j.id, n.name, a.state)
		j.state = a.state
	}
	switch a.state {
	case "completed":
		if !j.allDone() {
			w.broke("MIXED", "%s is shown as completed while a task has not ended done", j.id)
		}
	case "failed":
		if !j.mayHaveFailed() {
			w.broke("LOST", "%s is shown as failed without cause", j.id)
		}
	case "cancelled":
		if !j.cancelSent {
			w.broke("LOST", "%s is shown as cancelled, which nobody has done", j.id)
		}
	}
}

// mayHaveFailed reports whether a task or a gang has failed as often as its queue allows.
func (j *job) mayHaveFailed() bool {
	gangs := map[string]int{}
	for _, t := range j.tasks {
		if t.failed >= j.queue.attempts {
			return true
		}
		gangs[fmt.Sprint(t.occurrence, t.step)] += t.failed
	}
	for _, n := range gangs {
		if n >= j.queue.attempts {
			return true
		}
	}
	return false
}
