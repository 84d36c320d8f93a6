// Package matrix tests every fault at every step of the system's work. It runs whole entry instances in
// fake time and checks the guarantees against what callers, workers and the log saw. It has only tests.
package matrix
