package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the flags of the command.
type options struct {
	scenario, binary, record, only string
	trouble                        bool
	seed                           uint64
	nodes                          int
	length                         time.Duration
	keep                           bool
}

// scenario is what happens in one run.
type scenario interface {
	prepare(p *play) error
	play(p *play)
}

// play is one run of a scenario.
type play struct {
	options
	world     *world
	requester *requester
	folder    string
	zones     []string
	version   int
	queues    []*queue
	backends  []map[string]any
	wait      sync.WaitGroup
}

func main() {
	runtime.LockOSThread() // the instances are killed when the thread ends that has started them
	var o options
	flag.StringVar(&o.scenario, "scenario", "", "name of the scenario")
	flag.StringVar(&o.binary, "binary", "target/marigoldshed", "program under review")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&o.only, "only", "", "rule that counts; all without one")
	flag.BoolVar(&o.trouble, "trouble", true, "whether the disruption comes")
	flag.Uint64Var(&o.seed, "seed", 1, "seed")
	flag.IntVar(&o.nodes, "nodes", 3, "instances")
	flag.DurationVar(&o.length, "length", 30*time.Second, "length of the traffic")
	flag.BoolVar(&o.keep, "keep", false, "keep the folder with the logs of the instances")
	flag.Parse()
	os.Exit(runScenario(o))
}

func runScenario(o options) int {
	s, known := scenarios[o.scenario]
	if !known {
		fmt.Println("no such scenario:", o.scenario)
		return exitNotRun
	}
	record, err := os.Create(o.record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if o.keep {
		fmt.Println(folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	w := newWorld(record, o.seed)
	p := &play{options: o, world: w, requester: newRequester(w), folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}}
	defer p.killAll()
	if err := p.start(s); err != nil {
		fmt.Println("could not run:", err)
		w.say("could not run: %v", err)
		return exitNotRun
	}
	s.play(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%s", w.summary())
	fmt.Println(w.summary())
	for i, line := range w.broken {
		if i < 5 {
			fmt.Println(line)
		}
	}
	if len(w.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// start starts the stand-ins and the instances, and waits until they are ready.
func (p *play) start(s scenario) error {
	cloud, err := serveOn(httpHandler(p.world.fleet.serveCloud))
	if err != nil {
		return err
	}
	advice, err := serveOn(httpHandler(p.world.fleet.serveAdvice))
	if err != nil {
		return err
	}
	if err := s.prepare(p); err != nil {
		return err
	}
	go p.world.fleet.run(make(chan struct{}))
	p.writeConfig()
	binary, err := filepath.Abs(p.binary)
	if err != nil {
		return err
	}
	for i := range p.nodes {
		n, err := p.world.addNode(nodeConfig{number: i, zones: p.zones, cloud: cloud, advice: advice, folder: p.folder, binary: binary})
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	if !p.world.awaitReady(15 * time.Second) {
		return fmt.Errorf("the instances were not ready in time")
	}
	time.Sleep(4 * time.Second) // traffic starts some seconds after the machines
	return nil
}

func (p *play) killAll() {
	for _, n := range p.world.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
}

// writeConfig writes a new version of the config.
func (p *play) writeConfig() {
	p.version++
	routes, tenants := []map[string]any{}, []map[string]any{}
	for _, q := range p.queues {
		route := map[string]any{
			"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": q.target,
			"priority": 0, "backend": q.backend, "attempts": q.attempts, "stretch": q.stretch, "public": false,
		}
		if q.advice {
			route["advice"] = map[string]int64{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
		}
		routes = append(routes, route)
	}
	p.world.mu.Lock()
	for _, t := range p.world.tenants {
		tenants = append(tenants, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "weight": t.weight, "cap": map[string]int{"cpu": t.cpuCap, "mem_mb": 0, "gpu": 0},
		})
	}
	p.world.note("config %d", p.version)
	p.world.mu.Unlock()
	p.world.store.put("op", "config", map[string]any{
		"version": p.version, "routes": routes, "backends": p.backends, "tenants": tenants,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
