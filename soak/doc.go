// Package soak runs instances as separate processes against stand-ins of the platform's log, its workers and its instance
// service, does them harm at random and checks the promises that callers and workers can see. Its tests hold all of it.
package soak
