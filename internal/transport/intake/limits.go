package intake

import (
	"fmt"
	"time"
)

// Limits bounds what the clients of one listener may hold.
type Limits struct {
	Connections     int           // open connections
	BodyBytes       int64         // received bytes of the bodies of all calls that have not ended
	BodyTimeout     time.Duration // from the header of a call to the end of its body, whatever time the caller states
	ProgressTimeout time.Duration // between two reads of a body, and for one write of a response
	ReceiveBuffer   int           // bytes requested for the receive buffer of a connection on which a long body arrives
	Backlog         int           // connections that wait to be accepted
}

// Listeners holds the limits of the listeners of one process.
type Listeners struct{ Callers, Peers, Ready, Metrics Limits }

// Resources is what a process may use; 0 means that it is not known.
type Resources struct {
	Memory       int64 // bytes
	Descriptors  int
	MessageBytes int64 // longest message of another instance
}

// Shares of the process's resources that clients may hold. The descriptors that are left are for workers, the store and other
// instances that this one calls.
const (
	fileDescriptors  = 200 // descriptors that are kept for files
	callersFDShare   = 0.45
	peersFDShare     = 0.2
	callersBodyShare = 8       // one part in so many of the memory; what a handler decodes from a body comes on top
	peersBodyShare   = 16      // likewise
	callersConnBytes = 160_000 // one connection for so much memory; it needs up to 100,000: goroutines, buffers, a header, unread bytes
	peersConnBytes   = 320_000
	queuedConnBytes  = 500_000 // one connection that waits to be accepted for so much memory; its unread bytes need up to 120,000
	messagesMaxShare = 4       // longer messages of other instances than one part in so many of the memory are not allowed for
	bodiesMaxShare   = 2       // configured budgets of all listeners may be one part in so many of the memory
)

// Limits that do not depend on the process's resources.
const (
	readyConnections   = 64
	metricsConnections = 32
	probeBodyBytes     = 64 << 10 // for listeners whose handlers read no bodies
	minBodyBytes       = 256 << 10
	messagesAtOnce     = 2 // longest messages of other instances that always fit at once
	unknownMemory      = 512 << 20

	// maxBacklog and minBacklog bound a burst of new connections that an instance without processor time for a tenth of a second takes.
	maxBacklog = 512
	minBacklog = 64

	callersReceiveBuffer = 64 << 10
	peersReceiveBuffer   = 64 << 10
	probeReceiveBuffer   = 16 << 10

	// defaultProgressTimeout is the idle timeout of connections in the operators' configuration.
	defaultProgressTimeout = 15 * time.Second
	// callersBodyTimeout only limits callers that state a longer deadline than any queue's timeout.
	callersBodyTimeout = 10 * time.Minute
	peersBodyTimeout   = 30 * time.Second
	probeBodyTimeout   = 3 * time.Second
)

// MinDescriptors is the smallest limit on descriptors for which Defaults has room for clients.
const MinDescriptors = fileDescriptors + 100

// Defaults returns the limits that follow from the process's resources.
func Defaults(r Resources) Listeners {
	memory := r.Memory
	if memory <= 0 {
		memory = unknownMemory
	}
	callers, peers := int(memory/callersConnBytes), int(memory/peersConnBytes)
	ready, metrics := readyConnections, metricsConnections
	if r.Descriptors > 0 {
		free := FreeDescriptors(r)
		callers = min(callers, max(1, int(callersFDShare*float64(free))))
		peers = min(peers, max(1, int(peersFDShare*float64(free))))
		ready, metrics = min(ready, max(1, free/20)), min(metrics, max(1, free/20))
	}
	backlog := min(maxBacklog, max(minBacklog, int(memory/queuedConnBytes)))
	return Listeners{
		Callers: Limits{
			Connections: callers, BodyBytes: max(minBodyBytes, memory/callersBodyShare),
			BodyTimeout: callersBodyTimeout, ProgressTimeout: defaultProgressTimeout, ReceiveBuffer: callersReceiveBuffer, Backlog: min(backlog, callers),
		},
		Peers: Limits{
			Connections: peers, BodyBytes: max(minBodyBytes, memory/peersBodyShare, min(messagesAtOnce*r.MessageBytes, memory/messagesMaxShare)),
			BodyTimeout: peersBodyTimeout, ProgressTimeout: defaultProgressTimeout, ReceiveBuffer: peersReceiveBuffer, Backlog: min(backlog, peers),
		},
		Ready: Limits{
			Connections: ready, BodyBytes: probeBodyBytes,
			BodyTimeout: probeBodyTimeout, ProgressTimeout: probeBodyTimeout, ReceiveBuffer: probeReceiveBuffer, Backlog: min(backlog, ready),
		},
		Metrics: Limits{
			Connections: metrics, BodyBytes: probeBodyBytes,
			BodyTimeout: probeBodyTimeout, ProgressTimeout: defaultProgressTimeout, ReceiveBuffer: probeReceiveBuffer, Backlog: min(backlog, metrics),
		},
	}
}

// FreeDescriptors returns the descriptors that are not kept for files, of a limit that is known.
func FreeDescriptors(r Resources) int { return max(1, r.Descriptors-fileDescriptors) }

// LimitError reports a limit that cannot be used. Listener is empty if the sum over all listeners is wrong.
type LimitError struct{ Listener, Limit, Reason string }

// Error returns the listener, the limit and the reason.
func (e LimitError) Error() string { return e.Field() + " " + e.Reason }

// Field returns the listener and the limit.
func (e LimitError) Field() string {
	if e.Listener == "" {
		return e.Limit
	}
	return e.Listener + "." + e.Limit
}

// Names of the limits and listeners in settings, metrics and errors.
const (
	ConnectionsLimit     = "max_connections"
	BodyBytesLimit       = "body_bytes"
	BodyTimeoutLimit     = "body_timeout_ms"
	ProgressTimeoutLimit = "progress_timeout_ms"

	CallersListener = "front"
	PeersListener   = "peers"
	ReadyListener   = "ready"
	MetricsListener = "metrics"
)

// longestMessage returns the length of a message of another instance that must fit.
func (r Resources) longestMessage() int64 {
	if r.Memory <= 0 {
		return r.MessageBytes
	}
	return min(r.MessageBytes, r.Memory/messagesMaxShare)
}

// Check returns a LimitError if a limit is not positive, if one body of legal size would exceed a budget, or if the limits
// together exceed the process's resources.
func (l Listeners) Check(r Resources) error {
	connections, bytes := 0, int64(0)
	for _, one := range []struct {
		name    string
		limits  Limits
		minimum int64 // of the budget for bodies
	}{
		{CallersListener, l.Callers, minBodyBytes},
		{PeersListener, l.Peers, max(minBodyBytes, r.longestMessage())},
		{ReadyListener, l.Ready, 1},
		{MetricsListener, l.Metrics, 1},
	} {
		switch limits := one.limits; {
		case limits.Connections < 1:
			return LimitError{one.name, ConnectionsLimit, fmt.Sprintf("is %d, 1 at least", limits.Connections)}
		case limits.BodyBytes < one.minimum:
			return LimitError{one.name, BodyBytesLimit, fmt.Sprintf("is %d, the longest body has %d", limits.BodyBytes, one.minimum)}
		case limits.BodyTimeout <= 0:
			return LimitError{one.name, BodyTimeoutLimit, "is not positive"}
		case limits.ProgressTimeout <= 0:
			return LimitError{one.name, ProgressTimeoutLimit, "is not positive"}
		}
		connections += one.limits.Connections
		bytes += one.limits.BodyBytes
	}
	if r.Descriptors > 0 && connections > r.Descriptors-fileDescriptors {
		return LimitError{"", ConnectionsLimit, fmt.Sprintf("of all listeners is %d, more than the %d descriptors that are not for files",
			connections, r.Descriptors-fileDescriptors)}
	}
	if r.Memory > 0 && bytes > r.Memory/bodiesMaxShare {
		return LimitError{"", BodyBytesLimit, fmt.Sprintf("of all listeners is %d, more than half of the memory", bytes)}
	}
	return nil
}
