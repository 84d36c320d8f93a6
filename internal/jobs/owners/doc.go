// Package owners decides which instance owns which shard: a pool, or the set of all instances. A live owner keeps its
// shards, since every change of owner interrupts the shard's work; shards of dead owners go to the instances with the
// fewest shards for the square of their weight. The package does no I/O. Instances with the same view reach the same decision; where
// views differ, the fencing epochs of the claims keep two instances from acting for one shard.
package owners
