// Package catalog holds the data that operators and workers publish: queues, pools, teams with their keys and limits,
// workers, evacuated data centres and maintenance waves. Its values are read-only once published.
package catalog
