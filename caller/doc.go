// Package caller implements the callers' HTTP interface. POST /v1/queues/{queue} sends a request and waits for its
// answer; a failure is answered with application/problem+json, which says whether the request ran. docs/API.md is the
// contract.
package caller
