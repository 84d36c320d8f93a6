// Package testscripts runs the real command line from text archives. It has only tests.
package testscripts
