// Package commands implements the command line: each command is a struct of options with an Execute method.
// Exit codes: 0 done, 1 failed, 2 wrong usage or bad input, 3 refused, 4 pending.
package commands
