// Package entry implements one entry instance. It connects peers, the platform's log, endpoints and callers to the
// packages that do no I/O. One control thread (Control.loop) owns all tables. Each request runs on its own goroutine,
// which asks the control thread for a worker and reports the outcome.
package entry
