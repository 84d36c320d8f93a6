package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/server"
	"marigoldshed.example/marigoldshed/settings"
	"marigoldshed.example/marigoldshed/standin"
)

// ControlOptions is the size of the fleet for which Control measures.
type ControlOptions struct {
	Workers int           `long:"workers" default:"50" description:"workers (control)"`
	Pools   int           `long:"pools" default:"6" description:"pools (control)"`
	Teams   int           `long:"teams" default:"6" description:"teams (control)"`
	Entries int           `long:"entries" default:"6" description:"entry instances (control)"`
	Churn   string        `long:"churn" default:"target" description:"records of a day: target or none (control)"`
	Busy    bool          `long:"busy" description:"every member has demand of three teams in every pool (control)"`
	Span    time.Duration `long:"span" default:"8s" description:"length of each phase (control)"`
}

// Control records per day at the size targeted in two years, and other parameters of the measurement.
const (
	dailyChanges            = 260
	dailyFailures           = 12
	dailyRestarts           = 77
	maintenanceIntervalDays = 28 // days between two maintenances of an instance
	leaseRenewalSeconds     = 20
	demandsPerPool          = 3
	appendedRecords         = 400
	secondsPerDay           = 86_400
	recordsPerDrain         = 2 // the drain and the return; every member adds one confirmation
)

// recordsPerDay returns the number of records per day, without lease renewals.
func (o ControlOptions) recordsPerDay() float64 {
	if o.Churn == "none" {
		return 0
	}
	drains := float64(o.Workers)/maintenanceIntervalDays + dailyRestarts
	return dailyChanges + 2*dailyFailures + drains*(recordsPerDrain+float64(o.Entries))
}

// Control measures the cost of the control plane for one entry instance without requests: one real instance receives
// heartbeats from fake members and reads records of a fleet of the given size. The cost of the wire is the cost of the
// same messages between fakes; half of it counts for each side.
func Control(ctx context.Context, o ControlOptions) (*Result, error) {
	tb, err := newTestbed(ctx, o)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	wire, err := tb.measureHeartbeats(ctx, tb.sinkAddress, true)
	if err != nil {
		return nil, err
	}
	memory := liveHeapBytes()
	s, err := tb.startInstance(ctx)
	if err != nil {
		return nil, err
	}
	total, err := tb.measureHeartbeats(ctx, s.Peers(), false)
	if err != nil {
		return nil, err
	}
	records, err := tb.appendRecords(ctx, s.Control())
	if err != nil {
		return nil, err
	}
	memory = liveHeapBytes() - memory
	rate := o.recordsPerDay() / secondsPerDay
	r := &Result{Name: "control", Workload: fmt.Sprintf("%d workers, %d pools, %d teams, %d entries, busy %t, %s a phase, %.0f records a day beside renewals",
		o.Workers, o.Pools, o.Teams, o.Entries, o.Busy, o.Span, o.recordsPerDay())}
	heartbeats := max(0, total.cpu-wire.cpu) + wire.cpu/2
	r.addFigure("cpu_core_share", "of a core", heartbeats+records.cpu*rate).setBaseline("target", 0.017)
	r.addFigure("memory_bytes", "bytes", memory).setBaseline("target", 128<<20)
	r.addFigure("bytes_per_second", "bytes/s", total.bytes+records.bytes*rate).setBaseline("target", 9_000)
	r.addFigure("beats: cpu", "of a core", heartbeats)
	r.addFigure("beats, renewals and reads of the log: bytes", "bytes/s", total.bytes)
	r.addFigure("one record: cpu", "s", records.cpu)
	r.addFigure("one record: bytes", "bytes", records.bytes)
	r.addFigure("wire alone, both sides: cpu", "of a core", wire.cpu)
	return r, nil
}

// unitCost is the cost of one second of a phase, or of one record.
type unitCost struct {
	cpu   float64 // seconds
	bytes float64
}

// testbed is a platform and fake members that surround one real entry instance.
type testbed struct {
	bench        *bench
	ctx          context.Context
	options      ControlOptions
	store        *standin.Platform
	storeAddress netip.AddrPort
	fakes        []netip.AddrPort
	sinkAddress  netip.AddrPort
	bytes        atomic.Int64
	rules        string
}

func newTestbed(ctx context.Context, o ControlOptions) (*testbed, error) {
	if o.Entries < 2 || o.Pools < 1 || o.Teams < 1 || o.Workers < 1 {
		return nil, errors.NotValidf("control measurement with a size below one or fewer than two entry instances")
	}
	if o.Churn != "none" && o.Churn != "target" {
		return nil, errors.NotValidf("--churn %s", o.Churn)
	}
	ctx, stop := context.WithCancel(ctx)
	g := &testbed{bench: &bench{stop: stop}, ctx: ctx, options: o, store: standin.NewPlatform(time.Second)}
	var err error
	if g.storeAddress, err = g.bench.listen(ctx, g.store.Handler()); err != nil {
		return nil, err
	}
	for range o.Entries {
		address, err := g.bench.listen(ctx, peer.NewHandler(peer.HandlerConfig{Secret: peerSecret, Service: noopService{}}))
		if err != nil {
			return nil, err
		}
		g.fakes = append(g.fakes, address)
	}
	g.sinkAddress = g.fakes[len(g.fakes)-1]
	g.fakes = g.fakes[:len(g.fakes)-1]
	return g, g.populate()
}

// peerSecret is the secret that all members of a testbed share.
const peerSecret = "secret-of-the-peers"

// populate appends the rules, workers and fake members of a fleet of the given size to the log.
func (g *testbed) populate() error {
	o := g.options
	var b strings.Builder
	for n := range o.Teams {
		fmt.Fprintf(&b, "team t%d share=%d limit=%d # measure\n", n, 1+n%4, 8+o.Workers*4/o.Teams)
		fmt.Fprintf(&b, "key k%d team=t%d hash=%s # measure\n", n, n, entry.HashKey(fmt.Sprint("secret", n)))
	}
	for n := range o.Pools {
		fmt.Fprintf(&b, "pool p%d size=%d budget=2 # measure\n", n, max(1, o.Workers/o.Pools))
		fmt.Fprintf(&b, "queue q%d pool=p%d for=t%d # measure\n", n, n, n%o.Teams)
	}
	g.rules = b.String()
	records := []fleet.Record{fleet.Apply{Text: g.rules}}
	for n, address := range g.fakes {
		records = append(records, fleet.Join{Member: fakeMemberID(n), Entry: "fake", DataCentre: dataCentreName(n), Peer: address})
	}
	for n := range o.Workers {
		listed := store.ListedInstance{
			Instance: workerName(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + n/250), byte(1 + n%250)}), 9),
			DataCentre: dataCentreName(n), Rack: id.Rack(fmt.Sprintf("r%d", n/8)), Pool: id.Pool(fmt.Sprintf("p%d", n%o.Pools)), Slots: 8,
		}
		g.store.Add(listed, nil)
		records = append(records, fleet.Enroll{Listed: []store.ListedInstance{listed}})
	}
	for _, record := range records {
		if err := g.append(record); err != nil {
			return err
		}
	}
	return nil
}

func fakeMemberID(n int) id.Member { return id.Member(fmt.Sprintf("fake%d@1", n)) }

func dataCentreName(n int) id.DataCentre { return id.DataCentre(fmt.Sprintf("dc%d", n%5)) }

func (g *testbed) append(record fleet.Record) error {
	envelope, err := fleet.NewEnvelope(time.Now(), "measure", record)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := envelope.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(g.store.Log.Append(g.ctx, store.ControlStream, data))
}

// startInstance runs the real instance and waits until it is ready and knows every worker.
func (g *testbed) startInstance(ctx context.Context) (*server.Server, error) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	s, err := server.New(server.Config{
		Settings: settings.Settings{
			Entry: "real", DataCentre: "dc0", Callers: any, Operators: any, Peers: any, Platform: g.storeAddress,
			PeerSecret: peerSecret, OperatorSecret: "secret-of-the-operators", StopLimit: time.Second,
		},
		Dial: g.dial,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	g.bench.group.Go(func() { _ = s.Run(g.ctx) })
	return s, awaitInstances(ctx, s.Control(), g.options.Workers)
}

// dial opens a connection and counts its bytes.
func (g *testbed) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: raw, bytes: &g.bytes}, nil
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureHeartbeats makes the fakes send heartbeats to an address and returns the cost per second. If bothWays is set,
// as many heartbeats are sent back to the fakes; otherwise the fakes also renew their leases in the log.
func (g *testbed) measureHeartbeats(ctx context.Context, to netip.AddrPort, bothWays bool) (unitCost, error) {
	ctx, stop := context.WithTimeout(ctx, g.options.Span+time.Second)
	defer stop()
	for n, address := range g.fakes {
		f := &fakePeer{testbed: g, number: n, to: to}
		go f.loop(ctx)
		if bothWays {
			back := &fakePeer{testbed: g, number: n, to: address}
			go back.loop(ctx)
		} else {
			go f.renewLoop(ctx)
		}
	}
	time.Sleep(time.Second)
	before, err := currentUsage()
	if err != nil {
		return unitCost{}, err
	}
	bytes := g.bytes.Load()
	time.Sleep(g.options.Span)
	after, err := currentUsage()
	if err != nil {
		return unitCost{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return unitCost{cpu: (after.cpu - before.cpu).Seconds() / seconds, bytes: float64(g.bytes.Load()-bytes) / seconds}, nil
}

// appendRecords appends records, waits until the instance has applied them and returns the cost of one record.
func (g *testbed) appendRecords(ctx context.Context, c *entry.Control) (unitCost, error) {
	before, err := currentUsage()
	if err != nil {
		return unitCost{}, err
	}
	bytes := g.bytes.Load()
	for n := range appendedRecords {
		err := g.append(fleet.Edit{Set: []string{fmt.Sprintf("cutoff dc%d hold=%dm # measure", n%5, n+1)}})
		if err != nil {
			return unitCost{}, err
		}
		time.Sleep(time.Millisecond)
	}
	for ctx.Err() == nil {
		version, _, err := c.Rules(ctx)
		if err != nil {
			return unitCost{}, errors.Trace(err)
		}
		if version > appendedRecords {
			break
		}
		time.Sleep(time.Millisecond)
	}
	after, err := currentUsage()
	if err != nil {
		return unitCost{}, err
	}
	return unitCost{cpu: (after.cpu - before.cpu).Seconds() / appendedRecords, bytes: float64(g.bytes.Load()-bytes) / appendedRecords}, nil
}

func (g *testbed) close() { g.bench.close() }

// fakePeer is a fake member that sends heartbeats and renews its lease in the log. Messages to it have no effect.
type fakePeer struct {
	testbed *testbed
	number  int
	to      netip.AddrPort
}

// loop sends heartbeats until the context ends.
func (f *fakePeer) loop(ctx context.Context) {
	transport := &http.Transport{DialContext: f.testbed.dial, Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := peer.NewClient(peer.ClientConfig{Secret: peerSecret, Transport: transport})
	ticker := time.NewTicker(entry.Timing{}.WithDefaults().HeartbeatInterval(f.testbed.options.Entries, f.testbed.options.Busy))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			_ = client.Heartbeat(ctx, f.to, f.heartbeat(now))
		}
	}
}

func (f *fakePeer) heartbeat(now time.Time) peer.Heartbeat {
	b := peer.Heartbeat{Member: fakeMemberID(f.number), DataCentre: dataCentreName(f.number), Address: f.testbed.fakes[f.number], Version: 1}
	b.Offset = f.testbed.store.Log.Next(store.ControlStream)
	for p := range f.testbed.options.Pools {
		for k := range demandsPerPool {
			if f.testbed.options.Busy {
				b.Demands = append(b.Demands, peer.Demand{
					Pool: uint16(p), Team: uint16((p + k) % f.testbed.options.Teams), Running: 3, Waiting: uint32(now.UnixMilli() % 7), Oldest: 400,
				})
			}
		}
	}
	return b
}

// renewLoop renews the lease of the fake in the log, as a real member does.
func (f *fakePeer) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseRenewalSeconds * time.Second / 5)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.number%5 == n%5 {
				_ = f.testbed.append(fleet.Renew{Member: fakeMemberID(f.number), Seq: n})
			}
		}
	}
}

// noopService accepts messages without any effect.
type noopService struct{}

// HandleHeartbeat does nothing.
func (noopService) HandleHeartbeat(context.Context, peer.Heartbeat) error { return nil }

// HandlePull does nothing.
func (noopService) HandlePull(context.Context, peer.PullRequest) (peer.PullReply, error) {
	return peer.PullReply{}, nil
}

// HandleRelay does nothing.
func (noopService) HandleRelay(context.Context, peer.Relay) error { return nil }

// HandleReserve does nothing.
func (noopService) HandleReserve(context.Context, peer.ReserveRequest) (peer.ReserveReply, error) {
	return peer.ReserveReply{Granted: true}, nil
}

// HandleFinish does nothing.
func (noopService) HandleFinish(context.Context, peer.Finish) error { return nil }

// HandleRecall does nothing.
func (noopService) HandleRecall(context.Context) (peer.RecallReply, error) {
	return peer.RecallReply{}, nil
}

// HandleTask does nothing.
func (noopService) HandleTask(context.Context, peer.TaskRequest) (peer.TaskReply, error) {
	return peer.TaskReply{}, nil
}
