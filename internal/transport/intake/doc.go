// Package intake bounds what the clients of an HTTP server may hold: open connections, received bytes of bodies, and time. The
// decisions (limits, bodies, connections) do no I/O and read no clock; Gate applies them to a listener and a handler.
package intake
