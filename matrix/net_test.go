package matrix

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"syscall"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/peer"
)

// latency is the time that a message takes one way.
const latency = time.Millisecond

// way is a direction between two sites.
type way struct{ from, to id.DataCentre }

// cuts holds the directions in which nothing passes.
func (w *world) cut(from, to id.DataCentre, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[way{from, to}] = cut
	close(w.changed)
	w.changed = make(chan struct{})
}

// parted reports whether two sites cannot hold a connection, and what closes when that may change.
func (w *world) parted(from, to id.DataCentre) (bool, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[way{from, to}] || w.cuts[way{to, from}], w.changed
}

func refusedDial() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// runner is one entry instance's way to the endpoints.
type runner struct {
	w     *world
	entry *instance
}

// Run hands a task to an endpoint and waits for its answer, as a connection would.
func (r runner) Run(ctx context.Context, to netip.AddrPort, task endpoint.Task) (endpoint.Answer, error) {
	worker := r.w.workers[to]
	r.w.reach(stepSend, r.entry, string(task.Body))
	if cut, _ := r.w.parted(r.entry.dc, worker.dc); cut || worker.isDown() {
		time.Sleep(latency)
		return endpoint.Answer{}, endpoint.NotStartedError{To: to, Reason: "dial failed"}
	}
	time.Sleep(latency)
	answers := make(chan result, 1)
	go r.exchange(worker, task, answers)
	time.AfterFunc(latency, func() { r.w.reach(stepRun, r.entry, string(task.Body)) })
	for {
		cut, changed := r.w.parted(r.entry.dc, worker.dc)
		if cut {
			return endpoint.Answer{}, endpoint.UnknownError{To: to, Reason: "connection lost"}
		}
		select {
		case answer := <-answers:
			r.w.reach(stepAnswer, r.entry, string(task.Body))
			return r.whole(to, task, answer)
		case <-ctx.Done():
			return endpoint.Answer{}, endpoint.UnknownError{To: to, Reason: ctx.Err().Error()}
		case <-changed:
		}
	}
}

// result is what came back over a connection.
type result struct {
	recorder *httptest.ResponseRecorder
	broken   bool
}

// exchange runs the endpoint's handler and renews the task's lease meanwhile.
func (r runner) exchange(worker *worker, task endpoint.Task, answers chan<- result) {
	ctx, done := context.WithCancel(context.Background())
	defer done()
	go r.renew(ctx, worker, task)
	request := httptest.NewRequest(http.MethodPost, "/run", bytes.NewReader(task.Body))
	request.Header.Set(endpoint.RequestHeader, task.Request)
	request.Header.Set(endpoint.TeamHeader, string(task.Team))
	request.Header.Set(endpoint.QueueHeader, string(task.Queue))
	request.Header.Set(endpoint.LeaseHeader, task.Lease.String())
	answer := result{recorder: httptest.NewRecorder()}
	func() {
		defer func() { answer.broken = recover() != nil }()
		worker.endpoint.ServeHTTP(answer.recorder, request)
	}()
	answers <- answer
}

// renew keeps a task's lease while its entry instance lives, is not paused and can reach the worker.
func (r runner) renew(ctx context.Context, worker *worker, task endpoint.Task) {
	ticker := time.NewTicker(task.Lease / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		cut, _ := r.w.parted(r.entry.dc, worker.dc)
		if !cut && !r.entry.isPaused() && r.entry.alive() {
			_ = r.post(worker, "/renew/"+task.Request)
		}
	}
}

// whole turns what came back into an answer, as the HTTP adapter does.
func (r runner) whole(to netip.AddrPort, task endpoint.Task, answer result) (endpoint.Answer, error) {
	header := answer.recorder.Result().Header
	switch {
	case answer.broken && !r.entry.planted.AcceptShortAnswers:
		return endpoint.Answer{}, endpoint.UnknownError{To: to, Reason: "connection broke"}
	case header.Get(endpoint.RequestHeader) != task.Request:
		return endpoint.Answer{}, endpoint.UnknownError{To: to, Reason: "the answer belongs to another request"}
	case header.Get(endpoint.RefusedHeader) != "":
		return endpoint.Answer{}, endpoint.NotStartedError{To: to, Refused: true, Reason: header.Get(endpoint.RefusedHeader)}
	}
	body, _ := io.ReadAll(answer.recorder.Result().Body)
	return endpoint.Answer{Status: answer.recorder.Code, Header: header, Body: body, Free: -1}, nil
}

func (r runner) post(worker *worker, path string) (err error) {
	defer func() {
		if recover() != nil {
			err = syscall.ECONNRESET
		}
	}()
	worker.endpoint.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, nil))
	return nil
}

// Cancel asks an endpoint to stop a task.
func (r runner) Cancel(_ context.Context, to netip.AddrPort, request string) error {
	return r.reachable(to, "/cancel/"+request)
}

// Probe asks an endpoint whether it is ready.
func (r runner) Probe(_ context.Context, to netip.AddrPort) error { return r.reachable(to, "/ready") }

func (r runner) reachable(to netip.AddrPort, path string) error {
	worker := r.w.workers[to]
	time.Sleep(latency)
	if cut, _ := r.w.parted(r.entry.dc, worker.dc); cut {
		return syscall.ETIMEDOUT
	}
	return r.post(worker, path)
}

// peers is one entry instance's way to the others.
type peers struct {
	w     *world
	entry *instance
}

// to finds the instance at an address, or fails as a dial would.
func (p peers) to(ctx context.Context, address netip.AddrPort) (*instance, error) {
	time.Sleep(latency)
	to := p.w.instanceAt(address)
	if cut := p.w.blocked(p.entry.dc, to.dc); cut || to.isPaused() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !to.alive() {
		return nil, refusedDial()
	}
	return to, nil
}

// blocked reports whether a message cannot pass in one direction.
func (w *world) blocked(from, to id.DataCentre) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[way{from, to}]
}

// Heartbeat sends a heartbeat.
func (p peers) Heartbeat(ctx context.Context, address netip.AddrPort, heartbeat peer.Heartbeat) error {
	to, err := p.to(ctx, address)
	if err != nil {
		return err
	}
	if len(heartbeat.Wants) > 0 {
		p.w.reach(stepLimit, p.entry, "")
	}
	if len(heartbeat.Transfers) > 0 {
		p.w.reach(stepSlice, p.entry, "")
	}
	return to.control.HandleHeartbeat(ctx, heartbeat)
}

// Pull asks for records.
func (p peers) Pull(ctx context.Context, address netip.AddrPort, pull peer.PullRequest) (peer.PullReply, error) {
	to, err := p.to(ctx, address)
	if err != nil {
		return peer.PullReply{}, err
	}
	return to.control.HandlePull(ctx, pull)
}

// Relay asks to append a record.
func (p peers) Relay(ctx context.Context, address netip.AddrPort, relay peer.Relay) error {
	to, err := p.to(ctx, address)
	if err != nil {
		return err
	}
	return to.control.HandleRelay(ctx, relay)
}

// Reserve asks to remember an attempt.
func (p peers) Reserve(ctx context.Context, address netip.AddrPort, reserve peer.ReserveRequest) (peer.ReserveReply, error) {
	p.w.reach(stepCheck, p.entry, "")
	to, err := p.to(ctx, address)
	if err != nil {
		return peer.ReserveReply{}, err
	}
	return to.control.HandleReserve(ctx, reserve)
}

// Finish tells what an attempt has come to.
func (p peers) Finish(ctx context.Context, address netip.AddrPort, finish peer.Finish) error {
	to, err := p.to(ctx, address)
	if err != nil {
		return err
	}
	return to.control.HandleFinish(ctx, finish)
}

// Recall asks for remembered attempts.
func (p peers) Recall(ctx context.Context, address netip.AddrPort) (peer.RecallReply, error) {
	to, err := p.to(ctx, address)
	if err != nil {
		return peer.RecallReply{}, err
	}
	return to.control.HandleRecall(ctx)
}

// Task asks about a task.
func (p peers) Task(ctx context.Context, address netip.AddrPort, request peer.TaskRequest) (peer.TaskReply, error) {
	to, err := p.to(ctx, address)
	if err != nil {
		return peer.TaskReply{}, err
	}
	return to.control.HandleTask(ctx, request)
}

// link is one entry instance's way to the platform.
type link struct {
	w     *world
	entry *instance
}

func (s link) pass(ctx context.Context) error {
	time.Sleep(latency)
	if s.w.blocked(s.entry.dc, platformSite) || s.w.blocked(platformSite, s.entry.dc) || s.entry.isPaused() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Append adds a record.
func (s link) Append(ctx context.Context, stream string, data []byte) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	err := s.w.platform.Log.Append(ctx, stream, data)
	s.w.appended(stream, data, s.entry)
	return err
}

// Read returns records.
func (s link) Read(ctx context.Context, stream string, from int64, wait time.Duration) (store.Batch, error) {
	if err := s.pass(ctx); err != nil {
		return store.Batch{}, err
	}
	batch, err := s.w.platform.Log.Read(ctx, stream, from, wait)
	if err != nil || s.w.blocked(platformSite, s.entry.dc) {
		return store.Batch{}, context.DeadlineExceeded
	}
	return batch, nil
}

// List returns the platform's list, which may be stale or wrong.
func (s link) List(ctx context.Context) ([]store.ListedInstance, error) {
	if err := s.pass(ctx); err != nil {
		return nil, err
	}
	list, err := s.w.platform.List(ctx)
	return s.w.distort(list), err
}

// Reboot restarts an instance.
func (s link) Reboot(ctx context.Context, instance id.Instance, token string) error {
	if err := s.pass(ctx); err != nil {
		return err
	}
	s.w.reach(stepReboot, s.entry, "")
	return s.w.platform.Reboot(ctx, instance, token)
}
