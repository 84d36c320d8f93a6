// Package server puts one entry instance on the network: listeners for callers, operators and
// peers with bounds on sizes, counts and times, and transports to the platform, endpoints and peers.
package server
