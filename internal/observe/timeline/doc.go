// Package timeline builds the timeline of one job from the log lines of several instances.
package timeline
