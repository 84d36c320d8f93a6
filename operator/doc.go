// Package operator implements the operators' HTTP interface: Handler serves calls on an entry instance, Client makes
// them from the command line. Every change is a record of the log; a change that only restricts takes effect at once on
// the instance that receives it.
package operator
