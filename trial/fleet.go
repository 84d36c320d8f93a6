package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/server"
	"marigoldshed.example/marigoldshed/settings"
	"marigoldshed.example/marigoldshed/standin"
)

// Secrets that the members and operators of a trial use.
const (
	peerSecret     = "trial-secret-of-peers"
	operatorSecret = "trial-secret-of-operators"
)

// Fleet is a complete system in one process: platform, workers and entry instances.
type Fleet struct {
	Deployment Deployment
	Platform   *standin.Platform
	Journal    *standin.Journal
	Network    *Network
	Endpoints  map[id.Instance]*standin.Endpoint
	Entries    []*Entry

	mu      sync.Mutex // guards Entries
	config  FleetConfig
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
	address netip.AddrPort // of the platform
}

// FleetConfig holds the options of a Fleet.
type FleetConfig struct {
	Deployment Deployment
	Reboot     time.Duration // duration of a reboot
	Timing     entry.Timing
	Order      queue.Order
	Logger     *zap.Logger
}

// Entry is one entry instance of a fleet.
type Entry struct {
	Name       id.Entry
	DataCentre id.DataCentre
	Server     *server.Server
	done       chan struct{}
	cancel     context.CancelFunc
}

// StartFleet starts the platform, workers and entry instances on loopback. Close stops them.
func StartFleet(c FleetConfig) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Deployment: c.Deployment, Platform: standin.NewPlatform(c.Reboot), Journal: &standin.Journal{},
		Network: NewNetwork(), Endpoints: map[id.Instance]*standin.Endpoint{},
		config: c, group: &errgroup.Group{}, ctx: ctx, cancel: cancel,
	}
	address, err := f.listen(f.Platform.Handler(), platformSite)
	if err != nil {
		return nil, err
	}
	f.address = address
	if err := f.startWorkers(); err != nil {
		return nil, err
	}
	for n := range c.Deployment.Entries {
		for _, dc := range c.Deployment.DataCentres {
			if _, err := f.StartEntry(id.Entry(string(dc)+"-"+strconv.Itoa(n)), dc); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// listen serves a handler on loopback, as part of a site, until the fleet is closed.
func (f *Fleet) listen(handler http.Handler, site id.DataCentre) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Annotate(err, "listening")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, errors.Annotate(err, "reading an address")
	}
	f.Network.SetSite(address, site)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: zap.NewStdLog(zap.NewNop())}
	f.group.Go(func() error {
		_ = s.Serve(listener)
		return nil
	})
	context.AfterFunc(f.ctx, func() { _ = s.Close() })
	return address, nil
}

// startWorkers starts the workers of every pool and of the spare pool, spread over data centres and racks.
func (f *Fleet) startWorkers() error {
	n := 0
	start := func(pool id.Pool, count int) error {
		for range count {
			if err := f.startWorker(n, pool); err != nil {
				return err
			}
			n++
		}
		return nil
	}
	for _, p := range f.Deployment.Pools {
		if err := start(p.Pool, p.Workers); err != nil {
			return err
		}
	}
	return start(sparePool, f.Deployment.Spares)
}

func (f *Fleet) startWorker(n int, pool id.Pool) error {
	d := f.Deployment
	dc := d.DataCentres[n%len(d.DataCentres)]
	name := id.Instance(fmt.Sprintf("w%03d", n))
	e := standin.NewEndpoint(standin.EndpointConfig{
		Instance: name, DataCentre: dc, Slots: d.Slots, Journal: f.Journal, Work: workDuration,
	})
	address, err := f.listen(e, dc)
	if err != nil {
		return err
	}
	rack := id.Rack(fmt.Sprintf("%s-r%d", dc, n/len(d.DataCentres)/d.PerRack))
	f.Endpoints[name] = e
	f.Platform.Add(store.ListedInstance{
		Instance: name, Address: address, DataCentre: dc, Rack: rack, Pool: pool, Slots: d.Slots,
	}, e)
	return nil
}

// workDuration returns the duration given by the second word of a request body, or zero if there is none.
func workDuration(body string) time.Duration {
	_, length, _ := strings.Cut(body, " ")
	d, err := time.ParseDuration(length)
	if err != nil {
		return 0
	}
	return d
}

// StartEntry starts an additional entry instance.
func (f *Fleet) StartEntry(name id.Entry, dc id.DataCentre) (*Entry, error) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	logger := f.config.Logger
	s, err := server.New(server.Config{
		Settings: settings.Settings{
			Entry: name, DataCentre: dc, Callers: any, Operators: any, Peers: any,
			Platform: f.address, Seeds: f.seeds(), PeerSecret: peerSecret, OperatorSecret: operatorSecret,
			Grace: 200 * time.Millisecond, StopLimit: 30 * time.Second,
		},
		Timing: f.config.Timing, Order: f.config.Order, Logger: logger, Dial: f.Network.Dialer(dc),
	})
	if err != nil {
		return nil, errors.Annotatef(err, "starting entry %s", name)
	}
	f.Network.SetSite(s.Peers(), dc)
	ctx, cancel := context.WithCancel(f.ctx)
	e := &Entry{Name: name, DataCentre: dc, Server: s, done: make(chan struct{}), cancel: cancel}
	f.mu.Lock()
	f.Entries = append(f.Entries, e)
	f.mu.Unlock()
	f.group.Go(func() error {
		defer close(e.done)
		defer cancel()
		return s.Run(ctx)
	})
	return e, nil
}

func (f *Fleet) seeds() []netip.AddrPort {
	var list []netip.AddrPort
	for _, e := range f.Entries {
		if e.Alive() {
			list = append(list, e.Server.Peers())
		}
	}
	return list
}

// Alive reports whether the entry instance is running.
func (e *Entry) Alive() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// Kill stops the entry instance without a graceful shutdown.
func (e *Entry) Kill() {
	e.cancel()
	<-e.done
}

// Stop shuts the entry instance down gracefully.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.Server.Stop(ctx)
	<-e.done
	return err
}

// Operator returns an operator client of the entry instance.
func (e *Entry) Operator() *operator.Client {
	return operator.NewClient(operator.ClientConfig{Address: e.Server.Operators(), Secret: operatorSecret})
}

// Publish applies the rules of the deployment and waits until every entry instance is ready and knows all workers.
// Rules that are in force already count as applied.
func (f *Fleet) Publish(ctx context.Context) error {
	for {
		_, err := f.Entries[0].Operator().Apply(ctx, operator.Apply{Text: f.Deployment.Rules(), By: "the trial"})
		var refused operator.RefusedError
		if errors.As(err, &refused) && strings.Contains(refused.Reason, "is in force") {
			break
		}
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.Annotate(err, "publishing the rules")
		}
		time.Sleep(50 * time.Millisecond)
	}
	for !f.allReady() {
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "waiting for the entry instances")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func (f *Fleet) allReady() bool {
	for _, e := range f.Entries {
		if e.Alive() && !e.Server.Control().Ready() {
			return false
		}
	}
	return f.allEnrolled()
}

// allEnrolled reports whether every entry instance knows every worker.
func (f *Fleet) allEnrolled() bool {
	for _, e := range f.Entries {
		status, err := e.Server.Control().Status(f.ctx)
		if err == nil && len(status.Instances) < len(f.Endpoints) {
			return false
		}
	}
	return true
}

// Close stops the whole fleet without a graceful shutdown.
func (f *Fleet) Close() error {
	f.cancel()
	return errors.Trace(f.group.Wait())
}
