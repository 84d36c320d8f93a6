// Package id defines the identifier types that the other packages share: teams, pools, queues, instances, entries,
// members, data centres and racks. It also defines a set of comparable values.
package id
