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
	Public  bool  // no key is needed
	Version int64 // of the configuration that it is part of
	Timeout time.Duration
	Advised bool // starts need a ticket of the advice service

	Priority int
	Attempts int
	Stretch  float64
	Target   time.Duration
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name             string
	EnforcesCapacity bool // its workers refuse runs that exceed their free capacity
	Spare            bool // its instances are off
}

// Resources is a quantity of resources.
type Resources struct {
	CPU          int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of two quantities of resources.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, Accelerators: r.Accelerators + other.Accelerators}
}

// Sub returns the difference of two quantities of resources.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, Accelerators: r.Accelerators - other.Accelerators}
}

// Covers reports whether each resource of r is at least that of other.
func (r Resources) Covers(other Resources) bool {
	return r.CPU >= other.CPU && r.MemoryMB >= other.MemoryMB && r.Accelerators >= other.Accelerators
}

// Team is a team with its keys, its share and its upper limit.
type Team struct {
	Name     string
	Keys     []string
	Weight   int
	Limit    Resources // a zero field is no limit
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
	Capacity   Resources
	Draining   bool
	StartedAt  time.Time
	Clock      time.Duration // the worker's steady clock when it wrote the entry
	WarmupLeft time.Duration // how much longer the worker is slow after its start
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
	Capacity   Resources
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
	InMaintenance
)
