// Package quota keeps each team's upper limit true across members that cannot always speak to each
// other. A limit is cut into slots that members own; a Ledger in the control tables issues and
// reclaims them in log order, and each member's Holder spends its own and hands idle ones to others
// by sums that only grow, so that a repeated, lost or late message changes nothing. The package
// does no I/O and reads no clock; each value belongs to one control thread.
package quota
