// Package rules reads the operators' rules file: plain text, one rule a line, each with a comment
// that names who asked for it. A file is taken whole or refused whole with every fault named.
// The package does no I/O and keeps no state, so any thread may call it.
package rules
