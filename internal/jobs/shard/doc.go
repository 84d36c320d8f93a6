// Package shard runs one pool as its owner: it claims the pool in the platform's log, takes over what
// stands there, feeds events to the decisions of package pool on one control thread, and carries out
// the orders that come back. A successor's claim ends it.
package shard
