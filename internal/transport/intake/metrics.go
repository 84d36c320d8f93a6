package intake

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Metrics holds the metrics of what clients hold, by listener.
type Metrics struct {
	held        *prometheus.GaugeVec   // bytes of bodies
	connections *prometheus.GaugeVec   // open connections
	rejected    *prometheus.CounterVec // bodies that were not read to their end, by reason
	closed      *prometheus.CounterVec // connections closed at the limit, by reason
}

// NewMetrics returns metrics that are registered.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"listener"})
	}
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{"listener", "reason"})
	}
	m := &Metrics{
		held:        gauge("marigoldshed_intake_body_bytes", "Received bytes of bodies whose calls have not ended."),
		connections: gauge("marigoldshed_intake_connections", "Open connections of clients."),
		rejected:    counter("marigoldshed_intake_bodies_rejected_total", "Bodies that were not read to their end."),
		closed:      counter("marigoldshed_intake_connections_closed_total", "Connections that were closed at the limit on connections."),
	}
	registry.MustRegister(m.held, m.connections, m.rejected, m.closed)
	return m
}

// logInterval is the shortest time between two log lines of one listener about what it rejects.
const logInterval = 5 * time.Second

// Observer returns an observer that counts and logs what the clients of a listener hold and what is rejected.
func (m *Metrics) Observer(listener string, logger *zap.Logger) Observer {
	return &metricsObserver{
		metrics: m, listener: listener, logger: logger.With(zap.String("listener", listener)), sometimes: rate.Sometimes{Interval: logInterval},
	}
}

type metricsObserver struct {
	metrics   *Metrics
	listener  string
	logger    *zap.Logger
	sometimes rate.Sometimes

	mu               sync.Mutex
	held             int64
	open             int
	rejected, closed int // since the last log line
}

func (o *metricsObserver) BytesHeld(change int64) {
	o.metrics.held.WithLabelValues(o.listener).Add(float64(change))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held += change
}

func (o *metricsObserver) ConnectionsOpen(change int) {
	o.metrics.connections.WithLabelValues(o.listener).Add(float64(change))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open += change
}

func (o *metricsObserver) BodyRejected(reason Reason) {
	o.metrics.rejected.WithLabelValues(o.listener, reason.String()).Inc()
	if reason == Broken {
		return // ordinary clients close connections, too
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejected++
	o.logLocked(reason)
}

func (o *metricsObserver) ConnectionClosed(reason Reason) {
	o.metrics.closed.WithLabelValues(o.listener, reason.String()).Inc()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed++
	o.logLocked(reason)
}

// logLocked logs what was rejected since the last line, at most once in logInterval.
func (o *metricsObserver) logLocked(reason Reason) {
	o.sometimes.Do(func() {
		o.logger.Warn("clients exceed the limits of a listener", zap.Stringer("reason", reason), zap.Int("rejected", o.rejected),
			zap.Int("closed", o.closed), zap.Int64("body_bytes", o.held), zap.Int("connections", o.open))
		o.rejected, o.closed = 0, 0
	})
}
