// Package story builds the timeline of one job from the log lines of several instances.
package story
