// Package fleet holds the control tables and the rules by which records of the log change them.
// Two instances that apply the same records hold the same tables, so they make the same decisions
// without a leader. The package does no I/O and reads no clock; its tables belong to one control thread.
package fleet
