// Package stdout writes log lines to standard output without ever blocking the program: a line that
// finds the buffer full is dropped and counted.
package stdout
