// Package store speaks to the users' platform: its append-only log, its list of instances and
// its reboots. Log and Fleet are the two interfaces that another platform would implement; Client
// is the adapter for the HTTP form that this project's stand-in offers.
package store
