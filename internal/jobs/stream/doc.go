// Package stream says what the product needs of the platform's store: tables of keyed records that are
// also logs, with epochs that fence writers, and groups that hand parts of the work to live members.
// The adapter in platform/ and the stand-in of the tests implement it.
package stream
