// Package worker defines the interface to the workers that run tasks: starting and stopping runs, renewing leases with
// a report of running and ended runs, and pacing. The adapter in platform/ and the stand-in of the tests implement
// Client.
package worker
