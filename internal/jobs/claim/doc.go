// Package claim makes one instance the owner of a table of the platform's log. The fencing epoch is derived from the
// offset of the owner's claim record, so no two owners share one; the log refuses appends under a lower epoch from
// then on. The same epoch fences orders to workers and instances.
package claim
