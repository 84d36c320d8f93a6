// Package operator speaks to the operators: Handler takes their calls on an entry instance, Client
// makes them from the command line. Every change is a record of the log; one that only takes away
// is in force at once on the instance that hears of it.
package operator
