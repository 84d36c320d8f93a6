// Package queue decides whose work runs next. Divide splits the slots of all pools among teams and
// members from the demand that members report to each other, alike on every member that has the
// same reports; a Line keeps one member's waiting work for one pool in order. The package does no
// I/O and reads no clock; each value belongs to one control thread.
package queue
