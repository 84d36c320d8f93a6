// Package server connects one entry instance to the network: it has listeners for callers, operators and peers, with
// limits on sizes, connections and times, and transports to the platform, to endpoints and to peers.
package server
