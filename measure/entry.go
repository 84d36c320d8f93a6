package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/server"
	"marigoldshed.example/marigoldshed/settings"
	"marigoldshed.example/marigoldshed/standin"
)

// Parameters of the entry measurement.
const (
	entrySecret   = "secret-of-the-measured-team"
	entryRequests = 40_000
	entryRepeats  = 3
	bodyBytes     = 512
)

// cost is the cost of sending requests along one path in one repeat.
type cost struct {
	cpu       float64                 // CPU seconds per request, of the whole process
	allocs    float64                 // allocations per request
	latencies *hdrhistogram.Histogram // in microseconds
}

// Entry measures the cost of a request through an entry instance, compared with a direct call and a bare forwarder.
func Entry(ctx context.Context) (*Result, error) {
	b, err := newBench(ctx)
	if err != nil {
		return nil, err
	}
	defer b.close()
	r := &Result{Name: "entry", Workload: fmt.Sprintf("%d requests of %d bytes over loopback, one process, %d repeats", entryRequests, bodyBytes, entryRepeats)}
	for _, callers := range []int{1, 64, 1000} {
		if err := b.compare(r, callers); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// bench holds the endpoint, the forwarder and the entry instance that are compared.
type bench struct {
	client    *http.Client
	endpoint  string
	forwarder string
	entry     string
	stop      context.CancelFunc
	group     sync.WaitGroup
}

func newBench(ctx context.Context) (*bench, error) {
	ctx, stop := context.WithCancel(ctx)
	b := &bench{stop: stop, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 8192}}}
	fake := standin.NewPlatform(time.Second)
	worker, err := b.listen(ctx, http.HandlerFunc(echo))
	if err != nil {
		return nil, err
	}
	forwarder, err := b.listen(ctx, &forwarder{client: b.client, to: "http://" + worker.String() + "/run"})
	if err != nil {
		return nil, err
	}
	address, err := b.listen(ctx, fake.Handler())
	if err != nil {
		return nil, err
	}
	fake.Add(store.ListedInstance{Instance: "w", Address: worker, DataCentre: "dc1", Rack: "r", Pool: "p", Slots: 2000}, nil)
	s, err := b.startEntry(ctx, address)
	if err != nil {
		return nil, err
	}
	b.endpoint = "http://" + worker.String() + "/run"
	b.forwarder = "http://" + forwarder.String() + "/"
	b.entry = "http://" + s.Callers().String() + "/v1/queues/q"
	return b, nil
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(endpoint.RequestHeader, r.Header.Get(endpoint.RequestHeader))
	_, _ = w.Write(body)
}

// forwarder forwards every request to one address, without any decision.
type forwarder struct {
	client *http.Client
	to     string
}

// ServeHTTP forwards one request.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, f.to, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := f.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil {
		_, _ = w.Write(answer)
	}
}

// listen serves a handler on loopback over HTTP/1 and, as members do, over HTTP/2 without TLS.
func (b *bench) listen(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Annotate(err, "listening")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	b.group.Go(func() { _ = s.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = s.Close() })
	address, err := netip.ParseAddrPort(listener.Addr().String())
	return address, errors.Annotate(err, "reading an address")
}

// startEntry starts an entry instance with one team and waits until it is ready.
func (b *bench) startEntry(ctx context.Context, store netip.AddrPort) (*server.Server, error) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	s, err := server.New(server.Config{Settings: settings.Settings{
		Entry: "e", DataCentre: "dc1", Callers: any, Operators: any, Peers: any, Platform: store,
		PeerSecret: "secret-of-the-peers", OperatorSecret: "secret-of-the-operators", StopLimit: time.Second,
	}})
	if err != nil {
		return nil, err
	}
	b.group.Go(func() { _ = s.Run(ctx) })
	text := "pool p size=1 budget=1 # m\nteam t share=1 limit=2000 # m\nqueue q pool=p for=t # m\nkey k team=t hash=" +
		entry.HashKey(entrySecret) + " # m\n"
	if _, err := s.Control().Propose(ctx, "measure", fleet.Apply{Text: text}); err != nil {
		return nil, errors.Annotate(err, "publishing the rules")
	}
	return s, errors.Annotate(awaitInstances(ctx, s.Control(), 1), "waiting for the entry instance")
}

// awaitInstances waits until an entry instance is ready and knows at least count workers.
func awaitInstances(ctx context.Context, c *entry.Control, count int) error {
	for ctx.Err() == nil {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if c.Ready() && len(status.Instances) >= count {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

func (b *bench) close() {
	b.stop()
	b.group.Wait()
}

// compare measures the three paths in turn, entryRepeats times, with the given number of callers.
func (b *bench) compare(r *Result, callers int) error {
	var direct, forwarded, viaEntry []cost
	for range entryRepeats {
		for _, path := range []struct {
			url   string
			costs *[]cost
		}{{b.endpoint, &direct}, {b.forwarder, &forwarded}, {b.entry, &viaEntry}} {
			c, err := b.sendAll(path.url, callers)
			if err != nil {
				return err
			}
			*path.costs = append(*path.costs, c)
		}
	}
	var ratios, entryOverheads, forwarderOverheads, p50, p99, p999, allocs, rates []float64
	var forwardedP50, forwardedP99, forwardedP999 float64
	for i := range viaEntry {
		entryOverhead := viaEntry[i].cpu - direct[i].cpu
		forwarderOverhead := forwarded[i].cpu - direct[i].cpu
		ratios = append(ratios, entryOverhead/forwarderOverhead)
		entryOverheads = append(entryOverheads, entryOverhead*1e6)
		forwarderOverheads = append(forwarderOverheads, forwarderOverhead*1e6)
		rates = append(rates, 1/entryOverhead)
		allocs = append(allocs, viaEntry[i].allocs-direct[i].allocs)
		p50 = append(p50, float64(viaEntry[i].latencies.ValueAtQuantile(50)))
		p99 = append(p99, float64(viaEntry[i].latencies.ValueAtQuantile(99)))
		p999 = append(p999, float64(viaEntry[i].latencies.ValueAtQuantile(99.9)))
		forwardedP50 += float64(forwarded[i].latencies.ValueAtQuantile(50)) / float64(len(viaEntry))
		forwardedP99 += float64(forwarded[i].latencies.ValueAtQuantile(99)) / float64(len(viaEntry))
		forwardedP999 += float64(forwarded[i].latencies.ValueAtQuantile(99.9)) / float64(len(viaEntry))
	}
	prefix := fmt.Sprintf("%d callers: ", callers)
	r.addFigure(prefix+"CPU beyond a direct call", "us", entryOverheads...).setBaseline("bare forwarder", mean(forwarderOverheads))
	r.addFigure(prefix+"CPU against the bare forwarder", "times", ratios...).setBaseline("aim", 1.25)
	r.addFigure(prefix+"requests a second a core", "1/s", rates...)
	r.addFigure(prefix+"allocations beyond a direct call", "", allocs...)
	r.addFigure(prefix+"p50", "us", p50...).setBaseline("bare forwarder", forwardedP50)
	r.addFigure(prefix+"p99", "us", p99...).setBaseline("bare forwarder", forwardedP99)
	r.addFigure(prefix+"p99.9", "us", p999...).setBaseline("bare forwarder", forwardedP999)
	return nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// sendAll sends the requests of one repeat from all callers and returns their cost.
func (b *bench) sendAll(url string, callers int) (cost, error) {
	before, err := currentUsage()
	if err != nil {
		return cost{}, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	var lastErr error
	for range callers {
		group.Go(func() {
			own := hdrhistogram.New(1, 60_000_000, 3)
			err := b.send(url, entryRequests/callers, own)
			mu.Lock()
			defer mu.Unlock()
			latencies.Merge(own)
			if err != nil {
				lastErr = err
			}
		})
	}
	group.Wait()
	after, err := currentUsage()
	if err != nil {
		return cost{}, err
	}
	sent := float64(entryRequests / callers * callers)
	return cost{cpu: (after.cpu - before.cpu).Seconds() / sent, allocs: float64(after.allocs-before.allocs) / sent, latencies: latencies}, lastErr
}

func (b *bench) send(url string, count int, latencies *hdrhistogram.Histogram) error {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	for range count {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return errors.Annotate(err, "building a request")
		}
		request.Header.Set("Authorization", "Bearer "+entrySecret)
		request.Header.Set(endpoint.RequestHeader, "r")
		started := time.Now()
		response, err := b.client.Do(request)
		if err != nil {
			return errors.Annotate(err, "sending a request")
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || !bytes.Equal(answer, body) {
			return errors.Errorf("unexpected answer: status %d, %d bytes: %v", response.StatusCode, len(answer), err)
		}
		_ = latencies.RecordValue(time.Since(started).Microseconds())
	}
	return nil
}

// workerName returns the name of one worker of a measured fleet.
func workerName(n int) id.Instance { return id.Instance(fmt.Sprintf("w%04d", n)) }
