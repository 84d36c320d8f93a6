package catalog

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Queue is a route through which callers submit jobs.
type Queue struct {
	Name    string
	Host    string
	Prefix  string // the longest prefix of a path wins
	Pool    string
	Public  bool // no key is needed
	Timeout time.Duration
	Advised bool // starts need a ticket of the advice service

	Priority int
	Attempts int
	Stretch  float64
	Target   time.Duration
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name   string
	Guards bool // its workers refuse runs that exceed their free capacity
	Spare  bool // its instances are off
}

// Amount is a quantity of resources.
type Amount struct {
	CPU          int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Plus returns the sum of two quantities of resources.
func (a Amount) Plus(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, MemoryMB: a.MemoryMB + b.MemoryMB, Accelerators: a.Accelerators + b.Accelerators}
}

// Minus returns the difference of two quantities of resources.
func (a Amount) Minus(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, MemoryMB: a.MemoryMB - b.MemoryMB, Accelerators: a.Accelerators - b.Accelerators}
}

// Holds reports whether each resource of a is at least that of b.
func (a Amount) Holds(b Amount) bool {
	return a.CPU >= b.CPU && a.MemoryMB >= b.MemoryMB && a.Accelerators >= b.Accelerators
}

// Team is a team with its keys, its share and its upper limit.
type Team struct {
	Name     string
	Keys     []string
	Weight   int
	Cap      Amount // a zero field is no limit
	Priority int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	Pools        []Pool
	Teams        []Team
	MaxBodyBytes int64
}

// Queue returns the queue that a host and a path select, or nil.
func (c *Config) Queue(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// ByKey returns the team that a key belongs to, or nil.
func (c *Config) ByKey(key string) *Team {
	if key == "" {
		return nil
	}
	for i := range c.Teams {
		if slices.Contains(c.Teams[i].Keys, key) {
			return &c.Teams[i]
		}
	}
	return nil
}

// Serving returns the sorted names of the pools that run tasks.
func (c *Config) Serving() []string {
	var names []string
	for _, p := range c.Pools {
		if !p.Spare {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Worker is one incarnation of a worker: the process on an instance that runs tasks.
type Worker struct {
	ID         string
	Pool       string
	Instance   string
	Address    netip.AddrPort
	DataCentre id.DataCentre
	Rack       string
	Labels     []string
	Capacity   Amount
	Draining   bool
	StartedAt  time.Time
	Clock      time.Duration // the worker's steady clock when it wrote the entry
	ColdLeft   time.Duration // how much longer the worker is slow after its start
}

// Has reports whether a worker carries a label.
func (w *Worker) Has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Wave asks for the maintenance of instances.
type Wave struct {
	Number    int
	Instances []string
	Within    time.Duration // from the wave's announcement
	AtOnce    int           // maximum number of instances that are down at the same time
}

// Instance is an instance as the instance service lists it.
type Instance struct {
	Name       string
	Pool       string
	State      InstanceState
	Worker     string // ID of its worker, empty if none runs
	DataCentre id.DataCentre
	Capacity   Amount
	Rack       string
	Labels     []string
}

// InstanceState is what an instance is doing.
type InstanceState int

// States of an instance.
const (
	Down InstanceState = iota
	Up
	Moving
	InUpkeep
)
