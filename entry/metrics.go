package entry

import (
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
)

// Metrics holds the metrics of one entry instance.
type Metrics struct {
	Registry *prometheus.Registry
	Diverged prometheus.Counter // heartbeats with a different digest at the same offset

	wait     *prometheus.HistogramVec // seconds until a worker was chosen, by team and class
	duration *prometheus.HistogramVec // seconds until the end, by team, class and outcome
	refusals *prometheus.CounterVec   // by class and outcome
	slots    *prometheus.GaugeVec     // slots of a team's limit, by team and state
	waiting  *prometheus.GaugeVec     // waiting requests, by pool
	age      prometheus.Gauge         // seconds since the tables were last known to be current
	version  prometheus.Gauge
	offset   prometheus.Gauge
	pending  prometheus.Gauge     // restrictions in force that the log has not confirmed
	states   *prometheus.GaugeVec // instances, by state
}

// NewMetrics returns metrics in their own registry.
func NewMetrics() *Metrics {
	buckets := []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3.2, 5, 10, 30, 60, 300}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	}
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Diverged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldshed_diverged_total", Help: "Heartbeats whose digest differed at the same offset.",
		}),
		wait:     histogram("marigoldshed_wait_seconds", "Time until a worker was chosen.", "team", "class"),
		duration: histogram("marigoldshed_request_seconds", "Time until a request ended.", "team", "class", "outcome"),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldshed_refusals_total", Help: "Requests refused before they ran.",
		}, []string{"class", "outcome"}),
		slots:   gauges("marigoldshed_limit_slots", "Slots of a team's upper limit held by this instance.", "team", "state"),
		waiting: gauges("marigoldshed_waiting_requests", "Requests waiting on this instance.", "pool"),
		age:     gauge("marigoldshed_log_age_seconds", "Time since the tables were last known to be current."),
		version: gauge("marigoldshed_rules_version", "Version of the rules in force."),
		offset:  gauge("marigoldshed_log_offset", "Next offset of the control stream."),
		pending: gauge("marigoldshed_pending_restrictions", "Restrictions in force that the log has not confirmed."),
		states:  gauges("marigoldshed_instances", "Instances by state.", "state"),
	}
	m.Registry.MustRegister(m.Diverged, m.wait, m.duration, m.refusals, m.slots, m.waiting, m.age, m.version, m.offset, m.pending, m.states)
	return m
}

func (m *Metrics) refused(r Request, err error) {
	result := "unknown"
	var refusal RefusedError
	if errors.As(err, &refusal) {
		result = "not run"
	}
	m.refusals.WithLabelValues(string(r.Class), result).Inc()
}

func (m *Metrics) started(team id.Team, class queue.Class, wait time.Duration) {
	m.wait.WithLabelValues(string(team), string(class)).Observe(wait.Seconds())
}

func (m *Metrics) ended(team id.Team, class queue.Class, o outcome, duration time.Duration) {
	result := "answered"
	switch {
	case o.failed:
		result = "failed"
	case o.kind == unknown:
		result = "unknown"
	case o.kind != answered:
		result = "not run"
	}
	m.duration.WithLabelValues(string(team), string(class), result).Observe(duration.Seconds())
}

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = time.Second

// observe updates the gauges from the tables of the control thread.
func (m *Metrics) observe(c *Control, now time.Time) {
	if now.Sub(c.gaugesUpdated) < gaugeInterval {
		return
	}
	c.gaugesUpdated = now
	m.age.Set(now.Sub(c.lease.freshAt).Seconds())
	m.version.Set(float64(c.tables.Version))
	m.offset.Set(float64(c.tables.Offset))
	m.pending.Set(float64(len(c.pendingRestrictions)))
	for _, team := range c.tables.Rules().Teams {
		m.slots.WithLabelValues(string(team.Name), "own").Set(float64(c.holder.Owned(team.Name)))
		m.slots.WithLabelValues(string(team.Name), "running").Set(float64(c.holder.Running(team.Name)))
	}
	for name, p := range c.pools {
		m.waiting.WithLabelValues(string(name)).Set(float64(p.waitQueue.Len()))
	}
	states := map[fleet.State]int{fleet.Up: 0, fleet.Draining: 0, fleet.Rebooting: 0, fleet.Held: 0, fleet.Failed: 0}
	for _, instance := range c.tables.Instances {
		states[instance.State]++
	}
	for state, n := range states {
		m.states.WithLabelValues(string(state)).Set(float64(n))
	}
}
