// Package worker says what the product asks of the workers that run tasks: starts, stops, leases with
// a report of what runs and what has ended, and pacing. The adapter in platform/ and the stand-in of the
// tests implement Client.
package worker
