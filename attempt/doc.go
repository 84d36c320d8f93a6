// Package attempt remembers which idempotency keys have been used, so that a repeated request is matched
// with its first attempt instead of running twice. Every entry instance of a key's home data centre holds a
// Table. The package does no I/O, and only one control thread may use a Table.
package attempt
