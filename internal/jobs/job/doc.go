// Package job holds jobs as state machines: steps of tasks that depend on each other, the runs of each
// task, and the records that a successor rebuilds them from. The package does no I/O and reads no clock;
// a value belongs to the control thread of the pool that runs it.
package job
