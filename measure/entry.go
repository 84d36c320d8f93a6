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

// Parts of the entry measurement.
const (
	entrySecret   = "secret-of-the-measured-team"
	entryRequests = 40_000
	entryRepeats  = 3
	bodyBytes     = 512
)

// cost is what one way of sending requests took.
type cost struct {
	cpu    float64 // seconds a request, of the whole process
	allocs float64 // a request
	waits  *hdrhistogram.Histogram
}

// Entry measures a request through an entry instance beside a direct call and a bare forwarder.
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

// bench is an endpoint, a forwarder and an entry instance to compare.
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
	s, err := b.serve(ctx, address)
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

// forwarder passes requests on without any decision.
type forwarder struct {
	client *http.Client
	to     string
}

// ServeHTTP passes one request on.
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

// listen serves a handler on loopback, over HTTP/2 without TLS too, as members do.
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

// serve starts an entry instance with one team and waits until it serves.
func (b *bench) serve(ctx context.Context, store netip.AddrPort) (*server.Server, error) {
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

// awaitInstances waits until an entry instance serves and knows so many workers.
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

// compare measures the three ways in turn, several times, with so many callers.
func (b *bench) compare(r *Result, callers int) error {
	var direct, bare, through []cost
	for range entryRepeats {
		for _, way := range []struct {
			url   string
			costs *[]cost
		}{{b.endpoint, &direct}, {b.forwarder, &bare}, {b.entry, &through}} {
			c, err := b.drive(way.url, callers)
			if err != nil {
				return err
			}
			*way.costs = append(*way.costs, c)
		}
	}
	var ratios, own, bares, p50, p99, p999, allocs, rates []float64
	var bareP50, bareP99, bareP999 float64
	for i := range through {
		mine := through[i].cpu - direct[i].cpu
		theirs := bare[i].cpu - direct[i].cpu
		ratios = append(ratios, mine/theirs)
		own = append(own, mine*1e6)
		bares = append(bares, theirs*1e6)
		rates = append(rates, 1/mine)
		allocs = append(allocs, through[i].allocs-direct[i].allocs)
		p50 = append(p50, float64(through[i].waits.ValueAtQuantile(50)))
		p99 = append(p99, float64(through[i].waits.ValueAtQuantile(99)))
		p999 = append(p999, float64(through[i].waits.ValueAtQuantile(99.9)))
		bareP50 += float64(bare[i].waits.ValueAtQuantile(50)) / float64(len(through))
		bareP99 += float64(bare[i].waits.ValueAtQuantile(99)) / float64(len(through))
		bareP999 += float64(bare[i].waits.ValueAtQuantile(99.9)) / float64(len(through))
	}
	at := fmt.Sprintf("%d callers: ", callers)
	r.add(at+"CPU beyond a direct call", "us", own...).against("bare forwarder", mean(bares))
	r.add(at+"CPU against the bare forwarder", "times", ratios...).against("aim", 1.25)
	r.add(at+"requests a second a core", "1/s", rates...)
	r.add(at+"allocations beyond a direct call", "", allocs...)
	r.add(at+"p50", "us", p50...).against("bare forwarder", bareP50)
	r.add(at+"p99", "us", p99...).against("bare forwarder", bareP99)
	r.add(at+"p99.9", "us", p999...).against("bare forwarder", bareP999)
	return nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// drive sends the requests of one repeat.
func (b *bench) drive(url string, callers int) (cost, error) {
	before, err := used()
	if err != nil {
		return cost{}, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	waits := hdrhistogram.New(1, 60_000_000, 3)
	var failed error
	for range callers {
		group.Go(func() {
			mine := hdrhistogram.New(1, 60_000_000, 3)
			err := b.send(url, entryRequests/callers, mine)
			mu.Lock()
			defer mu.Unlock()
			waits.Merge(mine)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	after, err := used()
	if err != nil {
		return cost{}, err
	}
	sent := float64(entryRequests / callers * callers)
	return cost{cpu: (after.cpu - before.cpu).Seconds() / sent, allocs: float64(after.allocs-before.allocs) / sent, waits: waits}, failed
}

func (b *bench) send(url string, count int, waits *hdrhistogram.Histogram) error {
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
			return errors.Errorf("status %d, %d bytes: %v", response.StatusCode, len(answer), err)
		}
		_ = waits.RecordValue(time.Since(started).Microseconds())
	}
	return nil
}

// worker names one instance of a measured fleet.
func worker(n int) id.Instance { return id.Instance(fmt.Sprintf("w%04d", n)) }
