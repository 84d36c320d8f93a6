// Package quota enforces each team's upper limit across members that cannot always reach each
// other. A limit is divided into slots that members own; a Ledger in the control tables issues and
// reclaims them in log order, and each member's Holder uses its own slots and transfers idle ones to
// other members. Messages carry totals that only grow, so that a repeated, lost or late message has
// no ill effect. The package does no I/O and reads no clock; each value belongs to one control thread.
package quota
