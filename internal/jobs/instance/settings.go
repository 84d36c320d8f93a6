package instance

import (
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Settings is what an instance learns about itself and its surroundings when it starts.
type Settings struct {
	Name       string
	DataCentre id.DataCentre
	Callers    netip.AddrPort // where callers are served
	Ready      netip.AddrPort // where the balancer probes
	Peers      netip.AddrPort // where other instances are served
	Metrics    netip.AddrPort
	Store      netip.AddrPort // the platform's log
	Machines   netip.AddrPort // the platform's instance service
	Advice     netip.AddrPort // zero where no queue is advised

	MilliCores int           // thousandths of a core that the process may use
	MinTTL     time.Duration // shortest time to live of a group's member
	Memory     int64         // bytes that the process may use
	Grace      time.Duration // from a request to stop to the kill
	MaxLease   time.Duration // longest lease that a worker grants
	Retention  time.Duration // how long an ended job can be asked for
	Turn       time.Duration // quiet time before another holder orders the same instance about
	Far        float64       // how many times as long a task takes away from its data, 0 when not known
}

// usualLease bounds how long the tasks of a silent worker are given up for lost.
const usualLease = 4 * time.Second

// Lease returns the length of the workers' leases.
func (s *Settings) Lease() time.Duration {
	if s.MaxLease > 0 {
		return min(usualLease, s.MaxLease)
	}
	return usualLease
}
