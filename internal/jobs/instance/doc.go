// Package instance implements one process of the program on the users' machines. It follows the tables of operators and
// workers, takes part in the group that assigns pools to instances, owns the pools that are assigned to it, and serves
// callers for all pools.
package instance
