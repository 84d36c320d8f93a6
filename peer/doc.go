// Package peer exchanges messages with the other entry instances: demand, transfers of slots, restrictions, log records
// for members that cannot reach the log, reserved idempotency keys, and queries of tasks. Messages are typed and sent by
// connect with a CBOR codec: Client sends them, and the handler of NewHandler passes them to a Service.
package peer
