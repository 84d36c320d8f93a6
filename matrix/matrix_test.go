package matrix

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/trial"
)

var (
	seedFlag   = flag.Uint64("seed", 1, "determines the load of every cell and the pairs of faults")
	roundsFlag = flag.Int("rounds", 12, "pairs of faults to run")
)

// cell is one fault at one step, or two faults.
type cell struct {
	w          *world
	load       *load
	fault      fault
	second     *fault
	struck     chan struct{}
	once       sync.Once
	befallen   []*instance
	avoid      id.DataCentre
	background sync.WaitGroup

	mu       sync.Mutex
	events   []trial.Event
	rollouts []time.Duration
}

// settleTime is what the system is given after a fault before work must flow again everywhere.
const settleTime = 12 * time.Second

// strike brings the fault about, once.
func (c *cell) strike(at *instance) {
	c.once.Do(func() {
		c.fault.on(c, at)
		if c.second != nil {
			c.second.on(c, c.w.living()[len(c.w.living())-1])
		}
		close(c.struck)
	})
}

func (c *cell) note(name string) { c.noteAt(name, time.Now()) }

func (c *cell) noteAt(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, trial.Event{Name: name, At: at})
}

func (c *cell) noted(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Name == name {
			return true
		}
	}
	return false
}

// expire drops all old records of the log, as passing retention does.
func (c *cell) expire() {
	tables := c.snapshotNow()
	if tables != nil {
		_ = c.w.platform.Log.Append(context.Background(), store.SnapshotStream, tables)
	}
	c.w.platform.Log.Expire(store.ControlStream, 3)
}

// snapshotNow returns the tables after every record of the log, as a keeper of snapshots would have
// written before retention passed.
func (c *cell) snapshotNow() []byte {
	tables := fleet.NewTables()
	batch, err := c.w.platform.Log.Read(context.Background(), store.ControlStream, 0, 0)
	if err != nil {
		return nil
	}
	for _, stored := range batch.Records[:max(0, len(batch.Records)-2)] {
		if _, err := tables.Apply(stored.Offset, stored.Data); err != nil {
			return nil
		}
	}
	data, err := tables.Snapshot()
	if err != nil {
		return nil
	}
	return data
}

// run plays one cell inside a bubble of fake time and returns what was broken.
func run(t *testing.T, s step, f fault, second *fault, seed uint64, planted entry.Planted) []trial.Verdict {
	t.Helper()
	isPlanted := !reflect.ValueOf(planted).IsZero()
	w := newWorld(planted)
	c := &cell{w: w, fault: f, second: second, struck: make(chan struct{}), avoid: f.avoid}
	if second != nil && second.avoid != "" {
		c.avoid = second.avoid
	}
	w.publish(t)
	c.load = startLoad(w, seed)
	time.Sleep(2 * time.Second)
	w.arm(s, c.strike)
	c.act(s)
	select {
	case <-c.struck:
	case <-time.After(reachPatience):
		t.Errorf("step %s was not reached", s)
	}
	time.Sleep(f.lasts)
	f.off(c)
	if second != nil {
		second.off(c)
	}
	time.Sleep(settleTime)
	if !isPlanted {
		c.progress(t)
	}
	c.load.finish()
	time.Sleep(2 * callPatience)
	c.background.Wait()
	verdicts := trial.Check(c.evidence(t))
	w.close()
	time.Sleep(settleTime)
	return verdicts
}

// publish puts the rules into force and waits until every instance is ready.
func (w *world) publish(t *testing.T) {
	t.Helper()
	time.Sleep(200 * time.Millisecond)
	text := rulesText
	for _, team := range []string{"red", "blue", "guest"} {
		text += fmt.Sprintf("key k-%s team=%s hash=%s # matrix\n", team, team, entry.HashKey("trial-secret-of-"+team))
	}
	outcome, err := w.instances[0].control.Propose(context.Background(), "matrix", fleet.Apply{Text: text})
	if err != nil || outcome.Refused != "" {
		t.Fatalf("publishing: %v %s", err, outcome.Refused)
	}
	w.first, _ = w.platform.List(context.Background())
	time.Sleep(4 * time.Second)
	for _, i := range w.instances {
		if !i.control.Ready() {
			t.Fatalf("%s is not ready after the start", i.name)
		}
	}
}

// progress has every living instance serve every queue.
func (c *cell) progress(t *testing.T) {
	t.Helper()
	for _, i := range c.w.living() {
		if i.dc == "dc1" && c.noted("out") && !c.noted("back") {
			continue
		}
		if !i.control.Ready() {
			status, _ := i.control.Status(context.Background())
			t.Errorf("%s is not ready again: %s", i.name, status.Fenced)
			continue
		}
		for n, q := range []string{"front", "nights"} {
			call := trial.Call{ID: fmt.Sprintf("progress-%s-%d", i.name, n), Team: "blue", Queue: id.Queue(q), Class: queue.Urgent}
			call.Body = call.ID + " 50ms"
			if got := c.load.send(call, i, call.ID); !got.Whole {
				t.Errorf("%s does not serve %s again: %+v", i.name, q, got)
			}
		}
	}
}

func (c *cell) evidence(t *testing.T) trial.Evidence {
	t.Helper()
	drains, err := trial.ReplayFrom(context.Background(), c.w.kept())
	if err != nil {
		t.Fatal(err)
	}
	e := trial.Evidence{
		Calls: c.load.calls, Guests: c.load.guests, Runs: c.w.journal.Runs(), Events: c.events, Drains: drains, Rollouts: c.rollouts, Reboots: c.w.platform.Reboots(),
		Limits: []trial.TeamShape{{Team: "red", Limit: 5}, {Team: "blue", Limit: 4}, {Team: "guest", Limit: 2}},
		Pools:  map[id.Queue]id.Pool{"front": "web", "guests": "web", "nights": "batch"}, Faulty: id.Set[id.Instance]{}, Out: "dc1",
	}
	for _, f := range []*fault{&c.fault, c.second} {
		if f == nil {
			continue
		}
		e.MayLose = e.MayLose || f.lose
		if f.alone {
			e.Cut, e.Alone = "dc1", holdAlone
		}
		if f.down {
			for _, found := range rackOf(c.w) {
				e.Faulty.Add(found.name)
			}
		}
	}
	return e
}

// report fails the test for every promise that was broken.
func report(t *testing.T, verdicts []trial.Verdict) {
	t.Helper()
	for _, v := range verdicts {
		for n, broken := range v.Broken {
			if n == 3 {
				break
			}
			t.Errorf("%s: %s", v.Promise, broken)
		}
	}
}

// Counts of the cells of one run.
var passed, failed, skipped atomic.Int64

// TestMain prints the counts, which go test shows with -v.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	fmt.Printf("cells: %d passed, %d failed, %d skipped\n", passed.Load(), failed.Load(), skipped.Load())
	os.Exit(code)
}

// counted notes how a cell ends.
func counted(t *testing.T) {
	t.Cleanup(func() {
		switch {
		case t.Failed():
			failed.Add(1)
		case t.Skipped():
			skipped.Add(1)
		default:
			passed.Add(1)
		}
	})
}

func TestMatrix(t *testing.T) {
	for _, s := range steps() {
		for _, f := range faults() {
			t.Run(string(s)+"/"+f.name, func(t *testing.T) {
				counted(t)
				if f.no != "" {
					t.Skip("not applicable: " + f.no)
				}
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { report(t, run(t, s, f, nil, *seedFlag, entry.Planted{})) })
			})
		}
	}
}

func TestPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(*seedFlag, 0))
	all := faults()
	all = all[:len(all)-1]
	for round := range *roundsFlag {
		s := steps()[random.IntN(len(steps()))]
		first, second := all[random.IntN(len(all))], all[random.IntN(len(all))]
		seed := random.Uint64()
		t.Run(fmt.Sprintf("%d/%s/%s+%s", round, s, first.name, second.name), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { report(t, run(t, s, first, &second, seed, entry.Planted{})) })
		})
	}
}

// lives is how often a found pair is run: members draw new names each time, and the order of names
// decides who proposes and who gets slots first.
const lives = 6

// TestFoundPairs keeps the pairs of faults that once broke a promise or kept work from flowing again.
func TestFoundPairs(t *testing.T) {
	tests := []struct {
		step          step
		first, second string
		seed          uint64
	}{
		{stepAnswer, "entry-paused", "truncates", 1},
		{stepDrain, "entry-paused", "refuses", 1},
		{stepStop, "entry-paused", "cut-one-way", 1},
		{stepEmpty, "entry-stops", "list-wrong", 1},
		{stepStop, "log-down", "crosses", 1},
		{stepWithdraw, "log-slow", "cut-one-way", 1},
	}
	for _, tt := range tests {
		for n := range lives {
			t.Run(fmt.Sprintf("%s/%s+%s/%d", tt.step, tt.first, tt.second, n), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					second := faultOf(t, tt.second)
					report(t, run(t, tt.step, faultOf(t, tt.first), &second, tt.seed, entry.Planted{}))
				})
			})
		}
	}
}
