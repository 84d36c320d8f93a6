// Package limit deals the teams' upper limits out to the pools that share them, so that a team whose work comes to one
// pool now and to another one later can use all of its limit in either. It does no I/O and reads no clock.
package limit
