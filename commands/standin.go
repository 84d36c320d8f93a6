package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/standin"
)

// standinHeaderTimeout bounds the wait for a request's headers.
const standinHeaderTimeout = 5 * time.Second

type standinCommand struct {
	Platform platformCommand `command:"platform" description:"Run a fake of the platform: log, list and reboots."`
	Endpoint endpointCommand `command:"endpoint" description:"Run a fake worker."`
}

type platformCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:7000" description:"IP number and port"`
	Reboot time.Duration `long:"reboot" default:"2s" description:"how long a reboot takes"`
	output
}

// Execute runs a fake platform until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	p := standin.NewPlatform(c.Reboot)
	return serveStandin(c.Listen, p.Handler(), c.output, nil)
}

type endpointCommand struct {
	Listen     string `long:"listen" default:"127.0.0.1:0" description:"IP number and port"`
	Name       string `long:"name" required:"true" description:"name of the instance"`
	DataCentre string `long:"dc" required:"true" description:"data centre"`
	Rack       string `long:"rack" default:"r1" description:"rack"`
	Pool       string `long:"pool" required:"true" description:"pool that it is made for"`
	Slots      int    `long:"slots" default:"8" description:"tasks at once"`
	Platform   string `long:"platform" default:"127.0.0.1:7000" description:"fake platform to enlist with"`
	Fault      string `long:"fault" description:"refuses, early, late, truncates, crosses, fails or hangs"`
	output
}

// Execute runs a fake worker until SIGTERM or SIGINT; a task whose body is a duration such as 200ms
// runs for that duration.
func (c *endpointCommand) Execute([]string) error {
	e := standin.NewEndpoint(standin.EndpointConfig{
		Instance: id.Instance(c.Name), DataCentre: id.DataCentre(c.DataCentre), Slots: c.Slots,
		Journal: &standin.Journal{}, Work: taskDuration,
	})
	e.SetFault(standin.EndpointFault(c.Fault))
	return serveStandin(c.Listen, e, c.output, c.register)
}

// taskDuration returns the duration that a body contains, or a short default.
func taskDuration(body string) time.Duration {
	const defaultDuration = 20 * time.Millisecond
	d, err := time.ParseDuration(strings.TrimSpace(body))
	if err != nil {
		return defaultDuration
	}
	return d
}

func (c *endpointCommand) register(address netip.AddrPort) error {
	listing := store.ListedInstance{
		Instance: id.Instance(c.Name), Address: address, DataCentre: id.DataCentre(c.DataCentre),
		Rack: id.Rack(c.Rack), Pool: id.Pool(c.Pool), Slots: c.Slots,
	}
	body, err := json.Marshal(listing)
	if err != nil {
		return errors.Annotate(err, "encoding the instance")
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.Platform+"/instances", bytes.NewReader(body))
	if err != nil {
		return errors.Annotate(err, "building the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "registering with the platform")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New("the platform answered " + strconv.Itoa(response.StatusCode))
	}
	return nil
}

// serveStandin serves until SIGTERM or SIGINT; it calls onListen with the bound address.
func serveStandin(listen string, handler http.Handler, o output, onListen func(netip.AddrPort) error) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", listen)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return errors.Annotate(err, "reading the bound address")
	}
	o.printf("listening on %s\n", address)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s := &standinServer{http: &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}, ctx: ctx}
	go s.run()
	if onListen != nil {
		if err := onListen(address); err != nil {
			return err
		}
	}
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serving")
	}
	return nil
}

// standinServer closes its server when its context ends.
type standinServer struct {
	http *http.Server
	ctx  context.Context
}

func (s *standinServer) run() {
	<-s.ctx.Done()
	_ = s.http.Close()
}
