// Package caller speaks HTTP to the callers: a request that waits for its answer goes in by
// POST /v1/queues/{queue}, and what cannot be answered comes back as application/problem+json that
// says whether it ran. docs/API.md is the contract.
package caller
