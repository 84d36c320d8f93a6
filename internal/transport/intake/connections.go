package intake

import (
	"iter"
	"time"
)

// connID identifies an open connection.
type connID int64

// connState is what is known of an open connection.
type connState struct {
	active time.Duration // when bytes last arrived, or the last response was finished
	busy   bool          // its request has been read to its end and is being handled
}

// admission is the decision on a new connection: admitted, replacing or refused.
type admission interface{ admission() }

// admitted accepts a connection.
type admitted struct{}

// replacing accepts a connection in place of another one, which is closed.
type replacing struct{ closed connID }

// refused closes the new connection.
type refused struct{}

func (admitted) admission()  {}
func (replacing) admission() {}
func (refused) admission()   {}

// admit decides on a new connection. At the limit, the connection is closed that has been idle for longest, unless all of them
// have requests that are being handled.
func admit(open int, limit int, states iter.Seq2[connID, connState]) admission {
	if open < limit {
		return admitted{}
	}
	var found connID
	var oldest connState
	for id, s := range states {
		if s.busy {
			continue
		}
		if found == 0 || s.active < oldest.active || s.active == oldest.active && id < found {
			found, oldest = id, s
		}
	}
	if found == 0 {
		return refused{}
	}
	return replacing{closed: found}
}
