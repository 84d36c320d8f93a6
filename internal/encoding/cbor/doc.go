// Package cbor encodes what instances tell each other and what they keep in the log.
package cbor
