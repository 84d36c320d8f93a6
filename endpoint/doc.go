// Package endpoint speaks to the workers that run tasks. Runner is the one interface that another
// kind of endpoint would implement; Client is the adapter for HTTP. Every failure says whether the
// task can have started, since only a task that cannot have started may be sent elsewhere.
package endpoint
