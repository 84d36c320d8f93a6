// Package store gives access to the users' platform: its append-only log, its list of instances and reboots of
// instances. Log and Fleet are the two interfaces to implement for another platform; Client implements both for the
// HTTP API of this project's stand-in platform.
package store
