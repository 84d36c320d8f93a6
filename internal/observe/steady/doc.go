// Package steady reads the system's clocks: a monotonic clock that keeps running while the machine is suspended, and
// the time of day.
package steady
