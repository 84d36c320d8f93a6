// Package job models jobs as state machines: steps of tasks that depend on each other, the runs of each
// task, and the records from which a successor restores a job. The package does no I/O and reads no clock;
// a Job is used only by the control thread of the pool that runs the job.
package job
