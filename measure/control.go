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

// ControlOptions is the size that control is measured at.
type ControlOptions struct {
	Workers int           `long:"workers" default:"50" description:"workers (control)"`
	Pools   int           `long:"pools" default:"6" description:"pools (control)"`
	Teams   int           `long:"teams" default:"6" description:"teams (control)"`
	Entries int           `long:"entries" default:"6" description:"entry instances (control)"`
	Churn   string        `long:"churn" default:"target" description:"records of a day: target or none (control)"`
	Busy    bool          `long:"busy" description:"every member has demand of three teams in every pool (control)"`
	Span    time.Duration `long:"span" default:"8s" description:"length of each phase (control)"`
}

// A day's records at the two-year target.
const (
	dayChanges     = 260
	dayFailures    = 12
	dayRestarts    = 77
	maintainDays   = 28 // each instance is maintained once in so many days
	renewSeconds   = 20
	claimsPerPool  = 3
	playedRecords  = 400
	daySeconds     = 86_400
	recordsOfDrain = 2 // the drain and the return, beside a confirmation of every member
)

// recordsADay returns how many records of each kind a day brings, beside renewals.
func (o ControlOptions) recordsADay() float64 {
	if o.Churn == "none" {
		return 0
	}
	drains := float64(o.Workers)/maintainDays + dayRestarts
	return dayChanges + 2*dayFailures + drains*(recordsOfDrain+float64(o.Entries))
}

// Control measures what control costs one entry instance apart from traffic: one real instance among
// fake members that send it heartbeats, with records of the size asked for. The wire's part is what the
// same messages cost between fakes; half of it is each side's.
func Control(ctx context.Context, o ControlOptions) (*Result, error) {
	rig, err := newRig(ctx, o)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	wire, err := rig.phase(ctx, rig.nullAddress, true)
	if err != nil {
		return nil, err
	}
	memory := heap()
	s, err := rig.start(ctx)
	if err != nil {
		return nil, err
	}
	whole, err := rig.phase(ctx, s.Peers(), false)
	if err != nil {
		return nil, err
	}
	records, err := rig.play(ctx, s.Control())
	if err != nil {
		return nil, err
	}
	memory = heap() - memory
	rate := o.recordsADay() / daySeconds
	r := &Result{Name: "control", Workload: fmt.Sprintf("%d workers, %d pools, %d teams, %d entries, busy %t, %s a phase, %.0f records a day beside renewals",
		o.Workers, o.Pools, o.Teams, o.Entries, o.Busy, o.Span, o.recordsADay())}
	heartbeats := max(0, whole.cpu-wire.cpu) + wire.cpu/2
	r.add("cpu_core_share", "of a core", heartbeats+records.cpu*rate).against("target", 0.017)
	r.add("memory_bytes", "bytes", memory).against("target", 128<<20)
	r.add("bytes_per_second", "bytes/s", whole.bytes+records.bytes*rate).against("target", 9_000)
	r.add("beats: cpu", "of a core", heartbeats)
	r.add("beats, renewals and reads of the log: bytes", "bytes/s", whole.bytes)
	r.add("one record: cpu", "s", records.cpu)
	r.add("one record: bytes", "bytes", records.bytes)
	r.add("wire alone, both sides: cpu", "of a core", wire.cpu)
	return r, nil
}

// spent is what a phase or a record cost: a second, or a record.
type spent struct {
	cpu   float64 // seconds
	bytes float64
}

// rig is a platform and fake members around one real entry instance.
type rig struct {
	bench       *bench
	ctx         context.Context
	options     ControlOptions
	store       *standin.Platform
	storeAt     netip.AddrPort
	fakes       []netip.AddrPort
	nullAddress netip.AddrPort
	bytes       atomic.Int64
	text        string
}

func newRig(ctx context.Context, o ControlOptions) (*rig, error) {
	if o.Entries < 2 || o.Pools < 1 || o.Teams < 1 || o.Workers < 1 {
		return nil, errors.NotValidf("a size below one, or fewer than two entries,")
	}
	if o.Churn != "none" && o.Churn != "target" {
		return nil, errors.NotValidf("--churn %s", o.Churn)
	}
	ctx, stop := context.WithCancel(ctx)
	g := &rig{bench: &bench{stop: stop}, ctx: ctx, options: o, store: standin.NewPlatform(time.Second)}
	var err error
	if g.storeAt, err = g.bench.listen(ctx, g.store.Handler()); err != nil {
		return nil, err
	}
	for range o.Entries {
		address, err := g.bench.listen(ctx, peer.NewHandler(peer.HandlerConfig{Secret: rigSecret, Service: nullService{}}))
		if err != nil {
			return nil, err
		}
		g.fakes = append(g.fakes, address)
	}
	g.nullAddress = g.fakes[len(g.fakes)-1]
	g.fakes = g.fakes[:len(g.fakes)-1]
	return g, g.fill()
}

// rigSecret is the secret that all members of a rig share.
const rigSecret = "secret-of-the-peers"

// fill puts the rules, workers and fake members of the size asked for into the log.
func (g *rig) fill() error {
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
	g.text = b.String()
	records := []fleet.Record{fleet.Apply{Text: g.text}}
	for n, address := range g.fakes {
		records = append(records, fleet.Join{Member: fakeMember(n), Entry: "fake", DataCentre: dcOf(n), Peer: address})
	}
	for n := range o.Workers {
		listed := store.ListedInstance{
			Instance: worker(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + n/250), byte(1 + n%250)}), 9),
			DataCentre: dcOf(n), Rack: id.Rack(fmt.Sprintf("r%d", n/8)), Pool: id.Pool(fmt.Sprintf("p%d", n%o.Pools)), Slots: 8,
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

func fakeMember(n int) id.Member { return id.Member(fmt.Sprintf("fake%d@1", n)) }

func dcOf(n int) id.DataCentre { return id.DataCentre(fmt.Sprintf("dc%d", n%5)) }

func (g *rig) append(record fleet.Record) error {
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

// start runs the real instance and waits until it has joined and knows every worker.
func (g *rig) start(ctx context.Context) (*server.Server, error) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	s, err := server.New(server.Config{
		Settings: settings.Settings{
			Entry: "real", DataCentre: "dc0", Callers: any, Operators: any, Peers: any, Platform: g.storeAt,
			PeerSecret: rigSecret, OperatorSecret: "secret-of-the-operators", StopLimit: time.Second,
		},
		Dial: g.dial,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	g.bench.group.Go(func() { _ = s.Run(g.ctx) })
	return s, awaitInstances(ctx, s.Control(), g.options.Workers)
}

// dial makes connections whose bytes are counted.
func (g *rig) dial(ctx context.Context, network, address string) (net.Conn, error) {
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

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// phase has the fakes send heartbeats to an address for a while; with reply, somebody sends as many back.
func (g *rig) phase(ctx context.Context, to netip.AddrPort, reply bool) (spent, error) {
	ctx, stop := context.WithTimeout(ctx, g.options.Span+time.Second)
	defer stop()
	for n, address := range g.fakes {
		f := &fake{rig: g, number: n, to: to}
		go f.loop(ctx)
		if reply {
			back := &fake{rig: g, number: n, to: address}
			go back.loop(ctx)
		} else {
			go f.renewLoop(ctx)
		}
	}
	time.Sleep(time.Second)
	before, err := used()
	if err != nil {
		return spent{}, err
	}
	bytes := g.bytes.Load()
	time.Sleep(g.options.Span)
	after, err := used()
	if err != nil {
		return spent{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return spent{cpu: (after.cpu - before.cpu).Seconds() / seconds, bytes: float64(g.bytes.Load()-bytes) / seconds}, nil
}

// play appends records and returns what each cost the instance.
func (g *rig) play(ctx context.Context, c *entry.Control) (spent, error) {
	before, err := used()
	if err != nil {
		return spent{}, err
	}
	bytes := g.bytes.Load()
	for n := range playedRecords {
		err := g.append(fleet.Edit{Set: []string{fmt.Sprintf("cutoff dc%d hold=%dm # measure", n%5, n+1)}})
		if err != nil {
			return spent{}, err
		}
		time.Sleep(time.Millisecond)
	}
	for ctx.Err() == nil {
		version, _, err := c.Rules(ctx)
		if err != nil {
			return spent{}, errors.Trace(err)
		}
		if version > playedRecords {
			break
		}
		time.Sleep(time.Millisecond)
	}
	after, err := used()
	if err != nil {
		return spent{}, err
	}
	return spent{cpu: (after.cpu - before.cpu).Seconds() / playedRecords, bytes: float64(g.bytes.Load()-bytes) / playedRecords}, nil
}

func (g *rig) close() { g.bench.close() }

// fake is a member that only sends.
type fake struct {
	rig    *rig
	number int
	to     netip.AddrPort
}

// loop sends heartbeats until the context ends.
func (f *fake) loop(ctx context.Context) {
	transport := &http.Transport{DialContext: f.rig.dial, Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := peer.NewClient(peer.ClientConfig{Secret: rigSecret, Transport: transport})
	ticker := time.NewTicker(entry.Timing{}.WithDefaults().HeartbeatInterval(f.rig.options.Entries, f.rig.options.Busy))
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

func (f *fake) heartbeat(now time.Time) peer.Heartbeat {
	b := peer.Heartbeat{Member: fakeMember(f.number), DataCentre: dcOf(f.number), Address: f.rig.fakes[f.number], Version: 1}
	b.Offset = f.rig.store.Log.Next(store.ControlStream)
	for p := range f.rig.options.Pools {
		for k := range claimsPerPool {
			if f.rig.options.Busy {
				b.Demands = append(b.Demands, peer.Demand{
					Pool: uint16(p), Team: uint16((p + k) % f.rig.options.Teams), Running: 3, Waiting: uint32(now.UnixMilli() % 7), Oldest: 400,
				})
			}
		}
	}
	return b
}

// renewLoop renews the fake's lease in the log as a member does.
func (f *fake) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewSeconds * time.Second / 5)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.number%5 == n%5 {
				_ = f.rig.append(fleet.Renew{Member: fakeMember(f.number), Seq: n})
			}
		}
	}
}

// nullService takes messages and does nothing.
type nullService struct{}

// HandleHeartbeat does nothing.
func (nullService) HandleHeartbeat(context.Context, peer.Heartbeat) error { return nil }

// HandlePull does nothing.
func (nullService) HandlePull(context.Context, peer.PullRequest) (peer.PullReply, error) {
	return peer.PullReply{}, nil
}

// HandleRelay does nothing.
func (nullService) HandleRelay(context.Context, peer.Relay) error { return nil }

// HandleReserve does nothing.
func (nullService) HandleReserve(context.Context, peer.ReserveRequest) (peer.ReserveReply, error) {
	return peer.ReserveReply{Granted: true}, nil
}

// HandleFinish does nothing.
func (nullService) HandleFinish(context.Context, peer.Finish) error { return nil }

// HandleRecall does nothing.
func (nullService) HandleRecall(context.Context) (peer.RecallReply, error) {
	return peer.RecallReply{}, nil
}

// HandleTask does nothing.
func (nullService) HandleTask(context.Context, peer.TaskRequest) (peer.TaskReply, error) {
	return peer.TaskReply{}, nil
}
