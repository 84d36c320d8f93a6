// Package trial runs a whole small fleet in one process on loopback: the stand-in platform, workers,
// entry instances with their real listeners, and callers. It drives load and faults and checks every
// promise from what callers, workers and the log saw.
package trial
