// Package endpoint sends tasks to the workers that run them. Runner is the interface to implement for another kind
// of endpoint; Client implements it over HTTP. Every error of a run says whether the task can have started, because
// only a task that cannot have started may safely be sent to another endpoint.
package endpoint
