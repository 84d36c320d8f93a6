// Package attempt remembers which idempotency keys have been used, so that a request which a caller
// sends again meets the first attempt instead of running twice. Every entry instance of a key's home
// data centre holds a Table; the package does no I/O, and a Table belongs to one control thread.
package attempt
