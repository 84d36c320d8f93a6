// Package pool decides, for the owner of one pool, which task starts where, what is stored before which
// order, and what becomes of runs whose fate is unknown. It does no I/O and reads no clock: events come
// in with a Moment, typed actions go out. A Pool belongs to one control thread.
package pool
