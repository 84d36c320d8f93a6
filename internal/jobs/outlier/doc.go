// Package outlier detects workers that fail what they start. It compares workers with each other, so that tasks that fail wherever they
// run speak against themselves and not against the workers that ran them. It does no I/O and reads no clock.
package outlier
