// Package matrix holds the fault matrix: every fault at every step, on whole entry instances in fake
// time, with the promises checked from what callers, workers and the log saw. It has only tests.
package matrix
