// Package limit allocates the upper limits of teams to the pools that share them, so that a team whose work moves from
// one pool to another can use nearly all of its limit in either. It does no I/O and reads no clock.
package limit
