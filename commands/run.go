package commands

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/internal/jobs/instance"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/observe/stdout"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/platform"
)

type runCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the platform; the environment names it otherwise"`
	Debug    bool   `long:"debug" description:"log every task"`
}

// Bounds on connections.
const (
	runHeaderTimeout = 3 * time.Second
	runIdleTimeout   = 15 * time.Second
	runHeaderBytes   = 16 << 10
	runWorkerConns   = 6   // connections to one worker
	runScrapes       = 3   // requests for metrics that are answered at the same time; each gathers all metrics in memory
	memoryShare      = 0.7 // fraction of the allowed memory above which garbage is collected more often
)

// Phases of a graceful stop, as fractions of the time until the process is killed.
const (
	lingerShare   = 0.55 // callers on open connections are still served
	shutdownShare = 0.25 // the last responses are delivered
)

// Execute runs an instance on the platform until SIGTERM or SIGINT.
func (c *runCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return errors.Trace(err)
		}
	}
	set, err := platform.LoadSettings(path)
	if err != nil {
		return errors.Trace(err)
	}
	if set.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.Memory)))
	}
	level := zapcore.InfoLevel
	if c.Debug {
		level = zapcore.DebugLevel
	}
	logger := stdout.NewLogger(stdout.NewWriter(os.Stdout), level).With(zap.String("instance", set.Name))
	p := &process{settings: set, logger: logger, metrics: instance.NewMetrics()}
	return errors.Trace(p.run())
}

// process wires one instance to the network.
type process struct {
	settings instance.Settings
	logger   *zap.Logger
	metrics  *instance.Metrics
	instance *instance.Instance
}

func (p *process) run() error {
	set := p.settings
	store := platform.NewStore(set.Store, platform.NewTransport(0))
	p.instance = instance.New(instance.Config{
		Settings: set, Codec: platform.Codec{}, Log: store, ConditionalLog: store, Groups: store, Workers: platform.NewWorkers(platform.NewTransport(runWorkerConns)),
		Tables:   instance.Tables{Operators: platform.OperatorTable, Workers: platform.WorkerTable, Status: platform.StatusTable},
		Machines: platform.NewMachines(set.Machines, platform.NewTransport(0)), Advisor: platform.NewAdvisor(set.Advice, platform.NewTransport(1)),
		Peers: relay.NewClient(platform.NewTransport(0)), Clock: steady.Clock{}, Logger: p.logger, Metrics: p.metrics,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	var servers []*http.Server
	for _, e := range p.endpoints() {
		listener, err := intake.Listen(ctx, e.address, e.limits)
		if err != nil {
			return errors.Annotatef(err, "listening on %s", e.address)
		}
		gate := intake.NewGate(e.limits, p.metrics.Intake.Observer(e.name, p.logger))
		s := p.server(e, gate)
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(gate.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotatef(err, "serving on %s", e.address)
			}
			return nil
		})
	}
	p.logger.Info("started", zap.String("dc", string(set.DataCentre)), zap.Stringer("callers", set.Callers), zap.Stringer("peers", set.Peers))
	group.Go(func() error { return p.instance.Run(ctx) })
	group.Go(func() error { return p.handleSignals(ctx, cancel, servers) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// endpoint is an address on which the process serves HTTP.
type endpoint struct {
	name     string
	address  netip.AddrPort
	limits   intake.Limits
	handler  http.Handler
	bodyTime func(*http.Request) time.Duration // how long the body of a request may take
}

// endpoints returns the endpoints of the process, that of the callers first.
func (p *process) endpoints() []endpoint {
	set := p.settings
	limits := set.Intake
	anyTime := func(*http.Request) time.Duration { return math.MaxInt64 }
	return []endpoint{
		{intake.CallersListener, set.Callers, limits.Callers, &platform.CallerHandler{Instance: p.instance, Metrics: p.metrics, Logger: p.logger}, platform.BodyTimeout},
		{intake.ReadyListener, set.Ready, limits.Ready, p.ready(), anyTime},
		{intake.PeersListener, set.Peers, limits.Peers, p.peers(), anyTime},
		{
			intake.MetricsListener, set.Metrics, limits.Metrics,
			promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: runScrapes}), anyTime,
		},
	}
}

func (p *process) server(e endpoint, gate *intake.Gate) *http.Server {
	return &http.Server{
		Addr: e.address.String(), Handler: gate.Handler(e.handler, e.bodyTime), ConnContext: gate.ConnContext, ReadHeaderTimeout: runHeaderTimeout,
		IdleTimeout: runIdleTimeout, MaxHeaderBytes: runHeaderBytes, ErrorLog: zap.NewStdLog(p.logger),
	}
}

// peers returns the handler of other instances' requests.
func (p *process) peers() http.Handler {
	return relay.LimitReads(relay.NewHandler(p.instance), relay.MaxReads(p.settings.Memory))
}

func (p *process) ready() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.instance.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// handleSignals stops the process gracefully on SIGTERM or SIGINT.
func (p *process) handleSignals(ctx context.Context, cancel context.CancelFunc, servers []*http.Server) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.logger.Info("ignoring SIGHUP: changed settings take effect when the process restarts")
				continue
			}
			p.stop(ctx, servers)
			cancel()
			return nil
		}
	}
}

// stop hands the pools over, serves callers on open connections for a while and delivers the last responses.
func (p *process) stop(ctx context.Context, servers []*http.Server) {
	p.logger.Info("stopping")
	grace := p.settings.Grace
	linger := time.After(time.Duration(lingerShare * float64(grace)))
	handover, cancelHandover := context.WithTimeout(ctx, time.Duration(lingerShare*float64(grace)))
	p.instance.Stop(handover)
	cancelHandover()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	<-linger
	shutdown, cancelShutdown := context.WithTimeout(ctx, time.Duration(shutdownShare*float64(grace)))
	defer cancelShutdown()
	if err := servers[0].Shutdown(shutdown); err != nil {
		p.logger.Warn("callers were still waiting at the end of the graceful stop", zap.Error(err))
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			p.logger.Warn("closing a server failed", zap.Error(err))
		}
	}
	p.logger.Info("stopped")
}
