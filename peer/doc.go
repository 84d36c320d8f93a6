// Package peer speaks to the other entry instances: demand, slots handed over, restrictions, records
// of the log for those that cannot reach it, and reserved idempotency keys. Messages are typed and
// travel by connect with a CBOR codec; Client sends them and Handler takes them.
package peer
