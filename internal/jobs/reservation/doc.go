// Package reservation remembers which rejected jobs were told to come back and when, so that a caller that returns when
// told is served before callers that come for the first time, and a caller that returns sooner gains nothing. The table
// belongs to the owner of one pool, is bounded, and is not stored: a successor treats returning jobs as new ones. The
// package does no I/O and reads no clock. A Table must be used by a single control thread.
package reservation
