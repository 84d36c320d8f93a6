// Package admission decides whether a pool accepts a new job, by team, class and time. It does no I/O and reads no clock.
package admission
