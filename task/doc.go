// Package task keeps the tasks that callers submit and collect later. A Table is a function of the
// records in its owner's stream of the platform's log, so that another member can take it over when
// the owner ends. The package does no I/O; a Table belongs to one control thread.
package task
