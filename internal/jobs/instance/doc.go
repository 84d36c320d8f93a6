// Package instance is one process of the program on the users' machines: it follows what operators and
// workers publish, takes part in the group that hands pools to instances, owns the pools that it is
// handed, and answers callers for all of them.
package instance
