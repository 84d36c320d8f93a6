// Package rules reads the operators' rules file: plain text, one rule a line, each with a comment
// that names who asked for it. A file is accepted as a whole, or rejected as a whole with all its errors
// listed. The package does no I/O and keeps no state, so it is safe for concurrent use.
package rules
