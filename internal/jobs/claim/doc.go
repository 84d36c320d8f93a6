// Package claim makes one instance the owner of a table of the platform's log: the offset of its claim
// record is a number that no other owner has, and appends below it are refused from then on. The same
// number fences orders to workers and instances.
package claim
