// Package task holds the tasks that callers submit and whose answers they collect later. The content of a Table
// follows from the records in its owner's stream of the platform's log, so that another member can rebuild the
// Table and take it over when the owner ends. The package does no I/O, and only one control thread may use a Table.
package task
