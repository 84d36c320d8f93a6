package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	timeBudget = 3 * time.Second // of one call of a client
	retryPause = 100 * time.Millisecond
)

// answer is what a client got; a zero status means no answer.
type answer struct {
	status int
	body   string
}

// call sends one call to an instance on a new channel.
func (w *world) call(f *front, method string, q queue, rest, body string) answer {
	return w.callOn(w.http, f, method, q, rest, body)
}

// callOn sends one call to an instance on a client's own channels.
func (w *world) callOn(channel *http.Client, f *front, method string, q queue, rest, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s%s", f.ip, frontPort, q.prefix, rest)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return answer{}
	}
	request.Host = q.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+clientKey)
	request.Header.Set("Marigoldshed-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	response, err := channel.Do(request)
	a := answer{}
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			a = answer{status: response.StatusCode, body: string(data)}
		}
	}
	short := a.body
	if len(short) > 100 {
		short = short[:100]
	}
	if !w.check.quiet {
		w.note("client: %s %s%s at %s: %d %s", method, q.name, rest, f.name, a.status, short)
	}
	return a
}

// pick returns a ready instance other than the given one; calls go to the instances in turn.
func (w *world) pick(not *front) *front {
	for range len(w.fronts) {
		w.mu.Lock()
		w.turn++
		f := w.fronts[w.turn%len(w.fronts)]
		w.mu.Unlock()
		if f != not && f.ready() {
			return f
		}
	}
	return nil
}

// until repeats a call at ready instances until one of the statuses is answered or the time is over.
func (w *world) until(limit time.Duration, method string, q queue, rest, body string, statuses ...int) answer {
	end := time.Now().Add(limit)
	var a answer
	for time.Now().Before(end) {
		if f := w.pick(nil); f != nil {
			a = w.call(f, method, q, rest, body)
			for _, s := range statuses {
				if a.status == s {
					return a
				}
			}
		}
		time.Sleep(retryPause)
	}
	return a
}

// phase is a step of a job, in the clients' format.
type phase struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu,omitempty"`
	MemMB          int    `json:"mem_mb,omitempty"`
	EstMS          int    `json:"est_ms,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Requires       string `json:"requires,omitempty"`
}

// jobBody registers a job with the checker and returns its body.
func (w *world) jobBody(id string, length time.Duration, p phase) string {
	j := &jobInfo{spec: "work of " + id, length: length, lasts: p.LongRunning, tasks: p.Count, gang: p.Gang, cpu: p.CPU, memMB: p.MemMB}
	w.check.send(id, j)
	w.mu.Lock()
	w.lastSent = time.Now()
	w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"spec": j.spec, "phases": []phase{p}})
	return string(data)
}

// submit hands a job in, again if there is no final answer, and reports whether it was accepted.
func (w *world) submit(q queue, id string, length time.Duration, p phase) bool {
	return w.until(10*time.Second, http.MethodPost, q, id, w.jobBody(id, length, p), http.StatusOK).status == http.StatusOK
}
