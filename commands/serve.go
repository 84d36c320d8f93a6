package commands

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/server"
	"marigoldshed.example/marigoldshed/settings"
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI file of this instance"`
}

// Execute runs an entry instance until it is told to stop; a second signal cuts off what runs.
func (c *serveCommand) Execute([]string) error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	logger, err := newLogger(set.Debug)
	if err != nil {
		return errors.Annotate(err, "starting the log")
	}
	defer func() { _ = logger.Sync() }()
	s, err := server.New(server.Config{Settings: set, Logger: logger})
	if err != nil {
		return errors.Trace(err)
	}
	first, gotFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer gotFirst()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := &stopper{server: s, first: first, release: gotFirst, cancel: cancel, logger: logger}
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

// stopper turns signals into a graceful stop and then a hard one.
type stopper struct {
	server  *server.Server
	first   context.Context
	release context.CancelFunc
	cancel  context.CancelFunc
	logger  *zap.Logger
}

func (s *stopper) run() {
	<-s.first.Done()
	s.release()
	second, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	s.logger.Info("stopping")
	if err := s.server.Stop(second); err != nil {
		s.logger.Error("the stop was not graceful", zap.Error(err))
		s.cancel()
	}
}
