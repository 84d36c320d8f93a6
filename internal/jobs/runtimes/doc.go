// Package runtimes predicts how long tasks run, from the times that their callers declare and the runs that have ended. It is pure:
// times are passed in, and it does no I/O.
package runtimes
