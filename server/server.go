package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/settings"
)

// Limits on connections and requests.
const (
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	connsPerHost    = 64 // connections to one endpoint; idle connections to one host of any kind
	maxIdleConns    = 4_000
	shutdownTimeout = 10 * time.Second

	maxStreams         = 64       // requests at the same time by one connection of HTTP/2
	connReceiveBytes   = 64 << 10 // unread bytes of one connection of HTTP/2
	streamReceiveBytes = 32 << 10 // unread bytes of one of its streams
)

// Config holds what a Server needs.
type Config struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Timing   entry.Timing
	Order    queue.Order // nil means the default order
	// Dial replaces the dialer of outgoing connections, for trials that cut some of them; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server is one entry instance on the network.
type Server struct {
	config    Config
	control   *entry.Control
	metrics   *entry.Metrics
	servers   []*http.Server
	listeners []net.Listener
}

// New creates an entry instance and binds its listeners. It fails when an address cannot be bound.
func New(c Config) (*Server, error) {
	uuid.EnableRandPool()
	s := &Server{config: c, metrics: entry.NewMetrics()}
	set := c.Settings
	limits := newLimits(Resources(set))
	if err := s.listen(set.Callers, limits.callers); err != nil {
		return nil, err
	}
	if err := s.listen(set.Operators, limits.operators); err != nil {
		return nil, err
	}
	if err := s.listen(set.Peers, limits.peers); err != nil {
		return nil, err
	}
	s.control = entry.New(s.entryConfig(limits))
	s.addServers(limits)
	return s, nil
}

// addServers adds the HTTP server of each listener. Only peers use HTTP/2, whose connections carry many requests at a time.
func (s *Server) addServers(l limits) {
	set := s.config.Settings
	metrics := intake.NewMetrics(s.metrics.Registry)
	gate := func(name string, limits intake.Limits) *intake.Gate {
		return intake.NewGate(limits, metrics.Observer(name, s.logger()))
	}
	http1, anyHTTP := &http.Protocols{}, &http.Protocols{}
	http1.SetHTTP1(true)
	anyHTTP.SetHTTP1(true)
	anyHTTP.SetUnencryptedHTTP2(true)
	s.addServer(gate("callers", l.callers), http1, caller.NewHandler(caller.Config{Server: s.control, Ready: s.control.Ready}))
	s.addServer(gate("operators", l.operators), http1,
		operator.NewHandler(operator.Config{Control: s.control, Metrics: s.metrics, Secret: set.OperatorSecret}))
	s.addServer(gate("peers", l.peers), anyHTTP, peer.NewHandler(peer.HandlerConfig{Secret: set.PeerSecret, Service: s.control}))
}

// listen binds a listener. When it fails, it closes the listeners that are already bound.
func (s *Server) listen(address netip.AddrPort, l intake.Limits) error {
	listener, err := intake.Listen(context.Background(), address, l)
	if err != nil {
		for _, bound := range s.listeners {
			_ = bound.Close()
		}
		return errors.Annotatef(err, "listening on %s", address)
	}
	s.listeners = append(s.listeners, listener)
	return nil
}

func addressOf(listener net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	return address
}

func (s *Server) entryConfig(l limits) entry.Config {
	set := s.config.Settings
	platform := store.NewClient(store.Config{Address: set.Platform, Transport: s.newTransport(0)})
	return entry.Config{
		Entry: set.Entry, DataCentre: set.DataCentre, Peer: s.Peers(), Seeds: set.Seeds,
		Log: platform, Fleet: platform, Memory: Resources(set).Memory, Bodies: l.requestBodies(),
		Endpoints: endpoint.NewClient(endpoint.Config{Transport: s.newTransport(connsPerHost)}),
		Peers:     peer.NewClient(peer.ClientConfig{Secret: set.PeerSecret, Transport: s.newPeerTransport()}),
		Timing:    s.config.Timing,
		Order:     s.config.Order,
		Logger:    s.config.Logger,
		Metrics:   s.metrics,
	}
}

// newTransport returns an HTTP transport; perHost limits its connections to one host, and 0 means no limit.
func (s *Server) newTransport(perHost int) *http.Transport {
	dial := s.config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxConnsPerHost:     perHost,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: connsPerHost,
		DisableCompression:  true,
	}
}

// newPeerTransport returns a transport that uses HTTP/2 without TLS, which compresses the headers of the many small
// messages between peers.
func (s *Server) newPeerTransport() *http.Transport {
	transport := s.newTransport(0)
	transport.Protocols = &http.Protocols{}
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: idleTimeout, PingTimeout: headerTimeout}
	return transport
}

// addServer adds the HTTP server of the next listener, whose clients are subject to the gate's limits.
func (s *Server) addServer(gate *intake.Gate, protocols *http.Protocols, handler http.Handler) {
	s.listeners[len(s.servers)] = gate.Listener(s.listeners[len(s.servers)])
	bodyTime := func(*http.Request) time.Duration { return bodyTimeout }
	s.servers = append(s.servers, &http.Server{
		Handler: gate.Handler(handler, bodyTime), ConnContext: gate.ConnContext, Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connReceiveBytes, MaxReceiveBufferPerStream: streamReceiveBytes,
		},
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(s.logger()),
	})
}

func (s *Server) logger() *zap.Logger {
	if s.config.Logger == nil {
		return zap.NewNop()
	}
	return s.config.Logger
}

// Control returns the entry instance.
func (s *Server) Control() *entry.Control { return s.control }

// Callers returns the address of the listener for callers.
func (s *Server) Callers() netip.AddrPort { return addressOf(s.listeners[0]) }

// Operators returns the address of the listener for operators.
func (s *Server) Operators() netip.AddrPort { return addressOf(s.listeners[1]) }

// Peers returns the address of the listener for other members.
func (s *Server) Peers() netip.AddrPort { return addressOf(s.listeners[2]) }

// Run serves until Stop has finished, or until the context ends, which cuts off running requests.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range s.servers {
		listener := s.listeners[i]
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotatef(err, "serving on %s", listener.Addr())
			}
			return nil
		})
	}
	group.Go(func() error {
		err := s.control.Run(ctx)
		s.close(ctx)
		return err
	})
	return errors.Trace(group.Wait())
}

// close shuts down the HTTP servers: gracefully after Stop, at once when the context has ended.
func (s *Server) close(ctx context.Context) {
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range s.servers {
		if ctx.Err() == nil {
			_ = server.Shutdown(shutdown)
		}
		_ = server.Close()
	}
}

// Stop ends the instance gracefully within the configured limit. Run returns when the instance has ended.
func (s *Server) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.Settings.StopLimit)
	defer cancel()
	return errors.Trace(s.control.Stop(ctx, s.config.Settings.Grace))
}
