// Package id holds the names that every other package passes around: teams, pools, queues,
// instances, entries and data centres. It has no behaviour beyond comparison.
package id
