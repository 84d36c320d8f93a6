package server

import (
	"time"

	"golang.org/x/sys/unix"

	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/settings"
)

// Limits that hold however much memory there is.
const (
	maxCallers   = 10_000 // connections
	maxOperators = 100    // connections
	maxPeers     = 1_000  // connections

	minOperators       = 8
	operatorsConnBytes = 1 << 20 // one connection for so much memory; a call may hold 2 MB
	operatorsFDShare   = 10      // one connection for so many descriptors that are not for files
	operatorsBodyShare = 32      // one part in so many of the memory
	operatorsBodyBytes = 4 << 20 // two calls of the largest size at least
	callersBodyBytes   = 2 << 20 // likewise two bodies
	memberMessageBytes = 4 << 20 // the largest message that always fits, a relayed rules file
	bodyTimeout        = 30 * time.Second
	inFlightParts      = 3 // of inFlightOf parts of the callers' budget, for requests that wait or run
	inFlightOf         = 4
	machineShare       = 2 // one part in so many of the machine's memory is used where the settings do not say
)

// limits are what the clients of each listener may hold.
type limits struct{ callers, operators, peers intake.Limits }

// newLimits returns the limits that follow from the memory and the descriptors of the process.
func newLimits(r intake.Resources) limits {
	r.MessageBytes = memberMessageBytes
	defaults := intake.Defaults(r)
	l := limits{callers: defaults.Callers, operators: defaults.Metrics, peers: defaults.Peers}
	l.callers.Connections = min(l.callers.Connections, maxCallers)
	l.callers.BodyBytes = max(l.callers.BodyBytes, callersBodyBytes)
	l.callers.BodyTimeout = bodyTimeout
	l.peers.Connections = min(l.peers.Connections, maxPeers)
	l.operators.Connections = max(minOperators, min(maxOperators, int(r.Memory/operatorsConnBytes), intake.FreeDescriptors(r)/operatorsFDShare))
	l.operators.BodyBytes = max(operatorsBodyBytes, r.Memory/operatorsBodyShare)
	l.operators.BodyTimeout = bodyTimeout
	return l
}

// requestBodies returns the part of the callers' budget that requests may hold while they wait or run, so that the rest is free for bodies that
// arrive. A request counts for its connection, too.
func (l limits) requestBodies() entry.Bodies {
	return entry.Bodies{
		Limit: l.callers.BodyBytes / inFlightOf * inFlightParts, PerRequest: l.callers.BodyBytes / int64(l.callers.Connections),
	}
}

// Resources returns what the process may use: what the settings say, or else a part of the machine's memory and the system's limit on
// descriptors.
func Resources(set settings.Settings) intake.Resources {
	r := intake.Resources{Memory: set.Memory, Descriptors: set.Descriptors}
	var info unix.Sysinfo_t
	if r.Memory == 0 && unix.Sysinfo(&info) == nil {
		r.Memory = int64(info.Totalram) * int64(info.Unit) / machineShare
	}
	var files unix.Rlimit
	if r.Descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		r.Descriptors = int(min(files.Cur, maxDescriptors))
	}
	return r
}

// maxDescriptors stands for a system without a limit.
const maxDescriptors = 1 << 20
