package commands

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/server"
	"marigoldshed.example/marigoldshed/settings"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI file of this instance"`
}

// Execute runs an entry instance until SIGTERM or SIGINT; a second signal ends the graceful stop at once.
func (c *serveCommand) Execute([]string) error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	logger, err := newLogger(set.Debug)
	if err != nil {
		return errors.Annotate(err, "creating the logger")
	}
	defer func() { _ = logger.Sync() }()
	debug.SetMemoryLimit(int64(memoryShare * float64(server.Resources(set).Memory)))
	s, err := server.New(server.Config{Settings: set, Logger: logger})
	if err != nil {
		return errors.Trace(err)
	}
	firstSignal, releaseFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer releaseFirst()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := &stopper{server: s, firstSignal: firstSignal, releaseFirst: releaseFirst, cancel: cancel, logger: logger}
	go stop.run()
	logger.Info("listening", zap.Stringer("callers", s.Callers()), zap.Stringer("operators", s.Operators()), zap.Stringer("peers", s.Peers()))
	return errors.Trace(s.Run(ctx))
}

func newLogger(debug bool) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	if debug {
		config.Level.SetLevel(zap.DebugLevel)
	}
	return config.Build()
}

// stopper stops the server gracefully on the first signal and at once on the second.
type stopper struct {
	server       *server.Server
	firstSignal  context.Context
	releaseFirst context.CancelFunc
	cancel       context.CancelFunc
	logger       *zap.Logger
}

func (s *stopper) run() {
	<-s.firstSignal.Done()
	s.releaseFirst()
	secondSignal, releaseSecond := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer releaseSecond()
	s.logger.Info("stopping")
	if err := s.server.Stop(secondSignal); err != nil {
		s.logger.Error("graceful stop failed, stopping at once", zap.Error(err))
		s.cancel()
	}
}
