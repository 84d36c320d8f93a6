// Package queue decides whose work runs next. Allocate allocates the slots of all pools to teams and
// members by the demand that members report to each other, with the same result on every member that
// has the same reports; a WaitQueue keeps one member's waiting work for one pool in order. The package does
// no I/O and reads no clock; each value belongs to one control thread.
package queue
