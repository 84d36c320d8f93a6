package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// basePrefix starts the first line of a file that was taken from a version in force.
const basePrefix = "# based on version "

// Mark returns the text with a first line that names the version it was taken from.
func Mark(version int, text string) string {
	return fmt.Sprintf("%s%d\n%s", basePrefix, version, text)
}

// Base returns the version that a text's first line names, or -1.
func Base(text string) int {
	first, _, _ := strings.Cut(text, "\n")
	number, ok := strings.CutPrefix(first, basePrefix)
	if !ok {
		return -1
	}
	version, err := strconv.Atoi(strings.TrimSpace(number))
	if err != nil {
		return -1
	}
	return version
}

// Unmark returns the text without the line that Mark added.
func Unmark(text string) string {
	if Base(text) < 0 {
		return text
	}
	_, rest, _ := strings.Cut(text, "\n")
	return rest
}

// Compare returns the rules that a new text takes away and adds, each with a minus or plus before it.
func Compare(old, changed string) []string {
	before, _ := Lines(old)
	after, _ := Lines(changed)
	stays := map[string]bool{}
	for _, line := range after {
		stays[line.String()] = true
	}
	stood := map[string]bool{}
	var changes []string
	for _, line := range before {
		stood[line.String()] = true
		if !stays[line.String()] {
			changes = append(changes, "- "+line.String())
		}
	}
	for _, line := range after {
		if !stood[line.String()] {
			changes = append(changes, "+ "+line.String())
		}
	}
	return changes
}
