// Package relay carries calls between the instances of this program: requests about jobs go to the owner of their pool,
// and an instance that cannot reach the store reads and appends through another one.
package relay
