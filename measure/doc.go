// Package measure runs real parts over loopback with the small stand-ins and says what they cost: each
// measurement prints its workload, its figures with their spread over repeats, and its baseline from
// the same run.
package measure
