// Package pool makes the scheduling decisions of the owner of one pool: which task starts on which worker, what has
// to be stored before an order is sent, and how runs with an unknown outcome are resolved. The package does no I/O and
// reads no clock: methods receive events with a Moment, and decisions are returned as typed actions. A Pool must be
// used by a single control thread.
package pool
