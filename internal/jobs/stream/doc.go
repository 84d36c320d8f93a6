// Package stream defines the interfaces of the platform's store: tables of keyed records that are also logs, with
// epochs that fence writers, and groups that assign partitions to live members. The adapter in platform/ and the fakes
// in the tests implement them.
package stream
