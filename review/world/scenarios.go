package main

import (
	"fmt"
	"time"
)

// scenarioOf returns the scenario of a name, or nil.
func scenarioOf(name string) scenario {
	switch name {
	case "twice":
		return playTwice
	case "cancel":
		return playCancel
	case "cuts":
		return playCuts
	case "wide":
		return playWide
	case "stale":
		return playStale
	case "gang":
		return playGang
	case "label":
		return playLabel
	case "pending":
		return playPending
	}
	return nil
}

// Bounds of the deployment, from the pages.
const (
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
	cancelTime  = 3 * time.Second
	stopBound   = 900 * time.Millisecond
	visibleTime = 3 * time.Second
	finishTime  = 14 * time.Second
)

// id returns the ID of a client's job.
func id(number int) string { return fmt.Sprintf("5c0e7a21d94b%04x", number) }
