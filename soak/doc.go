// Package soak runs instances as separate processes against stand-ins of the platform's log, its workers and its instance
// service, injects random faults and checks the guarantees that callers and workers can see. It has only tests.
package soak
