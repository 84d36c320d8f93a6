// Package settings reads the INI file of one entry instance and checks it as a whole: every fault
// is named at once by section, key and reason.
package settings
