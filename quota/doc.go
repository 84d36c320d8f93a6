// Package quota enforces each team's upper limit across members that cannot always reach each
// other. A limit is cut into slots that members own; a Ledger in the control tables issues and
// reclaims them in log order, and each member's Holder spends its own and transfers idle ones to
// others by totals that only grow, so that a repeated, lost or late message changes nothing. The package
// does no I/O and reads no clock; each value belongs to one control thread.
package quota
