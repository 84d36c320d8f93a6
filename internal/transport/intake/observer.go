package intake

// Reason says why a body was rejected or a connection closed.
type Reason int

// Reasons.
const (
	NoMemory       Reason = iota // the budget for bodies is exhausted
	TooSlow                      // the body was not complete in time
	Stalled                      // the body made no progress
	Broken                       // the connection ended or the body is malformed
	TooMany                      // the new connection was closed: all others are being served
	IdleForLongest               // closed in favour of a new connection
)

// String returns the reason as metrics and log lines name it.
func (r Reason) String() string {
	switch r {
	case NoMemory:
		return "memory"
	case TooSlow:
		return "time"
	case Stalled:
		return "stalled"
	case Broken:
		return "broken"
	case TooMany:
		return "refused"
	case IdleForLongest:
		return "idle"
	}
	return "unknown"
}

// Observer is told what a Gate does. Its methods are called concurrently.
type Observer interface {
	// BytesHeld reports a change of the bytes that bodies hold.
	BytesHeld(change int64)
	// ConnectionsOpen reports a change of the number of open connections.
	ConnectionsOpen(change int)
	BodyRejected(Reason)
	ConnectionClosed(Reason)
}
