package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/standin"
)

// Parts of the load.
const (
	meanUse     = 0.40 // of a pool's slots, at a queue's mean
	burstFactor = 5.0
	quietFactor = 0.05
	fullFactor  = 3.6 // of every queue's mean while the whole fleet is full
	patience    = 4 * time.Second
)

// Call is one request as its caller saw it.
type Call struct {
	ID      string
	Body    string
	Team    id.Team
	Queue   id.Queue
	Class   queue.Class
	Work    time.Duration
	Repeats bool // it is idempotent and may run more than once
	Sent    time.Time
	Done    time.Time
	Status  int
	Outcome string // of a problem
	Whole   bool   // the answer was whole and its own
	Lost    string // why no answer arrived
}

// Load makes callers send work to a fleet.
type Load struct {
	fleet  *Fleet
	client *http.Client
	began  time.Time
	length time.Duration
	seed   uint64

	mu    sync.Mutex
	calls []Call
	wg    sync.WaitGroup
}

// NewLoad returns a load of a length that a seed determines.
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

// Run sends requests of all queues for the load's length and waits for their answers.
func (l *Load) Run(ctx context.Context) {
	l.began = time.Now()
	var sources sync.WaitGroup
	for i := range l.fleet.Deployment.Pools {
		s := &source{load: l, index: i, random: rand.New(rand.NewPCG(l.seed, uint64(i)))}
		sources.Go(func() { s.loop(ctx) })
	}
	sources.Wait()
	l.wg.Wait()
}

// source sends the requests of one queue.
type source struct {
	load   *Load
	index  int
	random *rand.Rand
	count  int
}

// loop sends requests until the load's length is over.
func (s *source) loop(ctx context.Context) {
	shape := s.load.fleet.Deployment.Pools[s.index]
	mean := meanUse * float64(shape.Workers*s.load.fleet.Deployment.Slots) / shape.Task.Seconds()
	next := s.load.began
	for {
		at := next.Sub(s.load.began)
		if at > s.load.length || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(next))
		s.send(ctx, shape)
		rate := mean * s.load.factor(s.index, at)
		next = next.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
}

// factor returns how far a queue is above its mean: each queue in turn bursts and then falls quiet;
// in the last part all are above what the fleet can do.
func (l *Load) factor(index int, at time.Duration) float64 {
	turns := float64(l.length) * fullFrom
	if float64(at) >= turns {
		return fullFactor
	}
	turn := turns / float64(len(l.fleet.Deployment.Pools))
	phase := float64(at)/turn - float64(index)
	switch {
	case phase >= 0 && phase < burstPart:
		return burstFactor
	case phase >= burstPart && phase < 1+burstPart:
		return quietFactor
	}
	return 1
}

// Parts of the load's length.
const (
	fullFrom  = 0.65 // all queues are above what the fleet can do from here on
	burstPart = 0.6  // of a queue's turn
)

func (s *source) send(ctx context.Context, shape PoolShape) {
	s.count++
	team := s.team()
	work := time.Duration(float64(shape.Task) * (0.5 + s.random.Float64()))
	name := fmt.Sprintf("%s-%d", shape.Queue, s.count)
	c := Call{
		ID: name, Body: name + " " + work.String(), Team: team, Queue: shape.Queue, Class: s.class(shape), Work: work,
	}
	e := s.load.balance(s.random.Uint64())
	s.load.wg.Go(func() { s.load.call(ctx, e, c) })
}

// otherClass is the part of a queue's requests that are not of its usual class.
const otherClass = 0.25

// class draws the class of a request.
func (s *source) class(shape PoolShape) queue.Class {
	usual := s.random.Float64() >= otherClass
	if usual == (shape.Class == queue.Urgent) {
		return queue.Urgent
	}
	return queue.Overnight
}

// team draws a team by its part of the work.
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

// balance returns an entry instance that is ready, as the platform's balancer would.
func (l *Load) balance(draw uint64) *Entry {
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

// call sends one request and notes how it went.
func (l *Load) call(ctx context.Context, e *Entry, c Call) {
	c.Sent = time.Now()
	l.exchange(ctx, e, &c, Secret(c.Team))
	c.Done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *Load) exchange(ctx context.Context, e *Entry, c *Call, secret string) {
	ctx, cancel := context.WithTimeout(ctx, 2*patience)
	defer cancel()
	target := "http://" + e.Server.Callers().String() + "/v1/queues/" + string(c.Queue)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(c.Body))
	if err != nil {
		c.Lost = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Class", string(c.Class))
	request.Header.Set("Deadline", patience.String())
	response, err := l.client.Do(request)
	if err != nil {
		c.Lost = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Lost = err.Error()
		return
	}
	c.Status = response.StatusCode
	if response.Header.Get("Content-Type") == "application/problem+json" {
		var problem caller.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			c.Lost = err.Error()
		}
		c.Outcome = problem.Outcome
		return
	}
	c.Whole = string(body) == standin.Answer(c.Body)
}

// PeakUse is the part of a pool's slots that its queue asks for in a burst.
const PeakUse = meanUse * burstFactor
