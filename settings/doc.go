// Package settings reads and checks the INI file of one entry instance. It reports all errors of the
// file at once, each with its section, key and reason.
package settings
