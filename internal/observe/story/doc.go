// Package story reads the log lines of several instances and puts together what they tell of one job.
package story
