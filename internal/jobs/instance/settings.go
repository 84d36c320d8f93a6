package instance

import (
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
)

// Settings holds the settings that an instance reads when it starts.
type Settings struct {
	Name       string
	DataCentre id.DataCentre
	Callers    netip.AddrPort // address for callers
	Ready      netip.AddrPort // address for the load balancer's probes
	Peers      netip.AddrPort // address for other instances
	Metrics    netip.AddrPort
	Store      netip.AddrPort // the platform's log
	Machines   netip.AddrPort // the platform's instance service
	Advice     netip.AddrPort // zero where no queue is advised

	MilliCores        int              // thousandths of a core that the process may use
	MinTTL            time.Duration    // shortest time to live of a group member
	Memory            int64            // bytes that the process may use
	Intake            intake.Listeners // what the clients of each listener may hold
	Grace             time.Duration    // from the request to stop to the kill
	MaxLease          time.Duration    // longest lease that a worker grants
	Retention         time.Duration    // how long the state of an ended job can be queried
	CancelTimeout     time.Duration    // time after the acknowledgement of a cancellation after which no task of the job starts, 0 if not known
	EvacuationTimeout time.Duration    // time after an evacuation after which no task starts in the data centre, 0 if not known
	HolderCooldown    time.Duration    // time without orders after which another holder may give orders to the same instance
	RecordBytes       int              // longest record that the store takes, 0 if not known
	CallBytes         int              // bytes of records that the store takes in one call, 0 if not known
	RemoteSlowdown    float64          // factor by which a task is slower away from its data, 0 when not known
	Admission         pool.AdmissionPolicy
	JobMemory         int64 // bytes that the jobs of one pool may take, 0 for the default by Memory
}

// defaultLease is the length of a lease, which bounds the time until the tasks of a silent worker count as lost.
const defaultLease = 4 * time.Second

// Lease returns the length of the workers' leases.
func (s *Settings) Lease() time.Duration {
	if s.MaxLease > 0 {
		return min(defaultLease, s.MaxLease)
	}
	return defaultLease
}
