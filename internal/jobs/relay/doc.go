// Package relay speaks to the other instances of this program: questions about jobs go to the owner of
// their pool, and an instance that cannot reach the store has another one store its callers' jobs.
package relay
