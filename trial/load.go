package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/standin"
)

// Parameters of the load.
const (
	meanUtilization = 0.40            // fraction of a pool's slots in use at the mean request rate of its queue
	burstFactor     = 5.0             // request rate in a burst, relative to the mean
	quietFactor     = 0.05            // request rate after a burst, relative to the mean
	overloadFactor  = 3.6             // request rate of every queue while the whole fleet is full, relative to the mean
	requestTimeout  = 4 * time.Second // deadline of a request; also bounds the start of the fleet and the replay of the log
)

// Call is one request and its result as observed by its caller.
type Call struct {
	ID            string
	Body          string
	Team          id.Team
	Queue         id.Queue
	Class         queue.Class
	Work          time.Duration
	Idempotent    bool // whether the request is idempotent and may run more than once
	Sent          time.Time
	Done          time.Time
	Status        int
	Outcome       string // outcome of the problem that was returned
	AnswerMatches bool   // whether the answer is complete and belongs to this request
	LossReason    string // reason why no answer arrived
}

// Load sends requests of callers to a fleet.
type Load struct {
	fleet   *Fleet
	client  *http.Client
	started time.Time
	length  time.Duration
	seed    uint64

	mu           sync.Mutex
	calls        []Call
	outOfSockets int // requests that failed since this process may open no more files
	wg           sync.WaitGroup
}

// NewLoad returns a load that lasts for the given length and is determined by the seed.
func NewLoad(f *Fleet, length time.Duration, seed uint64) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192, IdleConnTimeout: time.Minute}
	return &Load{fleet: f, client: &http.Client{Transport: transport}, length: length, seed: seed}
}

// Calls returns every request that has ended.
func (l *Load) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

// Run sends requests to all queues for the length of the load and waits for their answers.
func (l *Load) Run(ctx context.Context) {
	l.started = time.Now()
	var sources sync.WaitGroup
	for i := range l.fleet.Deployment.Pools {
		s := &source{load: l, index: i, random: rand.New(rand.NewPCG(l.seed, uint64(i)))}
		sources.Go(func() { s.loop(ctx) })
	}
	sources.Wait()
	l.wg.Wait()
}

// source generates the requests of one queue.
type source struct {
	load   *Load
	index  int
	random *rand.Rand
	count  int
}

// loop sends requests until the length of the load is over.
func (s *source) loop(ctx context.Context) {
	shape := s.load.fleet.Deployment.Pools[s.index]
	mean := meanUtilization * float64(shape.Workers*s.load.fleet.Deployment.Slots) / shape.Task.Seconds()
	next := s.load.started
	for {
		at := next.Sub(s.load.started)
		if at > s.load.length || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(next))
		s.send(ctx, shape)
		rate := mean * s.load.rateFactor(s.index, at)
		next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
}

// rateFactor returns the request rate of a queue relative to its mean. One queue after the other bursts and then
// falls quiet; in the last part of the load all queues exceed the capacity of the fleet.
func (l *Load) rateFactor(index int, at time.Duration) float64 {
	burstsLength := float64(l.length) * overloadFrom
	if float64(at) >= burstsLength {
		return overloadFactor
	}
	window := burstsLength / float64(len(l.fleet.Deployment.Pools))
	phase := float64(at)/window - float64(index)
	switch {
	case phase >= 0 && phase < burstFraction:
		return burstFactor
	case phase >= burstFraction && phase < 1+burstFraction:
		return quietFactor
	}
	return 1
}

// Phases of the load, as fractions.
const (
	overloadFrom  = 0.65 // fraction of the load's length after which all queues exceed the capacity of the fleet
	burstFraction = 0.6  // fraction of a queue's window in which the queue bursts
)

func (s *source) send(ctx context.Context, shape PoolShape) {
	s.count++
	team := s.team()
	work := time.Duration(float64(shape.Task) * (0.5 + s.random.Float64()))
	name := fmt.Sprintf("%s-%d", shape.Queue, s.count)
	c := Call{
		ID: name, Body: name + " " + work.String(), Team: team, Queue: shape.Queue, Class: s.class(shape), Work: work,
	}
	e := s.load.pickEntry(s.random.Uint64())
	s.load.wg.Go(func() { s.load.call(ctx, e, c) })
}

// otherClassFraction is the fraction of a queue's requests that are not of its usual class.
const otherClassFraction = 0.25

// class draws the class of a request at random.
func (s *source) class(shape PoolShape) queue.Class {
	usual := s.random.Float64() >= otherClassFraction
	if usual == (shape.Class == queue.Urgent) {
		return queue.Urgent
	}
	return queue.Overnight
}

// team draws a team at random, weighted by its fraction of the work.
func (s *source) team() id.Team {
	draw := s.random.Float64()
	teams := s.load.fleet.Deployment.Teams
	for _, t := range teams {
		draw -= t.Weight
		if draw < 0 {
			return t.Team
		}
	}
	return teams[len(teams)-1].Team
}

// pickEntry returns a ready entry instance, as the platform's load balancer would, or any one if none is ready.
func (l *Load) pickEntry(draw uint64) *Entry {
	var ready []*Entry
	l.fleet.mu.Lock()
	entries := l.fleet.Entries
	l.fleet.mu.Unlock()
	for _, e := range entries {
		if e.Alive() && e.Server.Control().Ready() {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return entries[draw%uint64(len(entries))]
	}
	return ready[draw%uint64(len(ready))]
}

// call sends one request and records its result.
func (l *Load) call(ctx context.Context, e *Entry, c Call) {
	c.Sent = time.Now()
	l.roundTrip(ctx, e, &c, Secret(c.Team))
	c.Done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *Load) roundTrip(ctx context.Context, e *Entry, c *Call, secret string) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	target := "http://" + e.Server.Callers().String() + "/v1/queues/" + string(c.Queue)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(c.Body))
	if err != nil {
		l.fail(c, err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Class", string(c.Class))
	request.Header.Set("Deadline", requestTimeout.String())
	response, err := l.client.Do(request)
	if err != nil {
		l.fail(c, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		l.fail(c, err)
		return
	}
	c.Status = response.StatusCode
	if response.Header.Get("Content-Type") == "application/problem+json" {
		var problem caller.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			c.LossReason = err.Error()
		}
		c.Outcome = problem.Outcome
		return
	}
	c.AnswerMatches = string(body) == standin.Answer(c.Body)
}

// fail records why a request got no answer.
func (l *Load) fail(c *Call, err error) {
	c.LossReason = err.Error()
	if errors.Is(err, syscall.EMFILE) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.outOfSockets++
	}
}

// PeakUtilization is the demand of a queue in a burst, as a fraction of the slots of its pool.
const PeakUtilization = meanUtilization * burstFactor
