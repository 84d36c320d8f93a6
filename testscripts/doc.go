// Package testscripts runs the marigoldshed command in testscript archives (txtar files). It has only tests.
package testscripts
