// Package trial runs a small but complete fleet in one process on loopback: the stand-in platform, workers,
// entry instances with their real listeners, and callers. It generates load, injects faults and checks every
// guarantee against what callers, workers and the log observed.
package trial
