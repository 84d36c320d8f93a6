// Package buffer divides a bounded amount of memory among teams by dynamic thresholds: the less of it is free, the less one team may hold.
// It does no I/O; a Buffer is used by one thread at a time.
package buffer
