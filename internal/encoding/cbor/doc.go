// Package cbor encodes the messages between instances and the records that instances store in the log.
package cbor
