// Package shard runs one pool as its owner: it claims the pool in the platform's log, loads the pool's stored state,
// feeds events to the decisions of package pool on one control thread, and sends the resulting orders to the workers.
// A shard ends when a successor claims the pool.
package shard
