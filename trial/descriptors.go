package trial

import (
	"fmt"
	"syscall"

	"github.com/juju/errors"
)

// DescriptorsError reports that requests failed because this process reached its limit of open files, so that the trial
// says nothing about the fleet.
type DescriptorsError struct {
	Limit  uint64 // open files that this process may have
	Failed int    // requests
}

// Error returns the limit and the number of requests that failed.
func (e DescriptorsError) Error() string {
	return fmt.Sprintf("this process may open %d files and needed more: %d requests could not be sent, so the trial is not valid; raise the limit (ulimit -n) or run it on an idle machine", e.Limit, e.Failed)
}

// socketsPerRequest counts both ends of the connections from the caller to the entry instance and from there to the worker.
const socketsPerRequest = 4

// descriptorsNeeded returns how many files the process has open if every request of the overload waits until its deadline.
func (d Deployment) descriptorsNeeded() uint64 {
	waiting := 0.0
	for _, shape := range d.Pools {
		rate := meanUtilization * float64(shape.Workers*d.Slots) / shape.Task.Seconds()
		waiting += rate * overloadFactor * requestTimeout.Seconds()
	}
	return uint64(waiting) * socketsPerRequest
}

// descriptorLimit returns how many files this process may have open.
func descriptorLimit() (uint64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(err, "reading the limit of open files")
	}
	return limit.Cur, nil
}

// checkDescriptors returns a DescriptorsError if requests failed for want of sockets.
func (l *Load) checkDescriptors(limit uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outOfSockets == 0 {
		return nil
	}
	return DescriptorsError{Limit: limit, Failed: l.outOfSockets}
}
