// Command standins-3 runs one scenario of the third review: it starts instances of the program as separate processes on
// loopback addresses, plays the platform's log, its machines, the workers and the requesters as the users' pages describe
// them, and judges only what these have seen.
package main
