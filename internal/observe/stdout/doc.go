// Package stdout writes log lines to standard output without ever blocking the program: when the buffer is full,
// further lines are dropped and counted.
package stdout
