package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// basePrefix starts the first line of a file that is a copy of a version in force.
const basePrefix = "# based on version "

// AddBaseLine returns the text with a first line that names the version that it is a copy of.
func AddBaseLine(version int, text string) string {
	return fmt.Sprintf("%s%d\n%s", basePrefix, version, text)
}

// BaseVersion returns the version that a text's first line names, or -1.
func BaseVersion(text string) int {
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

// RemoveBaseLine returns the text without the line that AddBaseLine added.
func RemoveBaseLine(text string) string {
	if BaseVersion(text) < 0 {
		return text
	}
	_, rest, _ := strings.Cut(text, "\n")
	return rest
}

// Compare returns the rules that a new text removes and adds, each with a minus or plus before it.
func Compare(old, changed string) []string {
	before, _ := Lines(old)
	after, _ := Lines(changed)
	inAfter := map[string]bool{}
	for _, line := range after {
		inAfter[line.String()] = true
	}
	inBefore := map[string]bool{}
	var changes []string
	for _, line := range before {
		inBefore[line.String()] = true
		if !inAfter[line.String()] {
			changes = append(changes, "- "+line.String())
		}
	}
	for _, line := range after {
		if !inBefore[line.String()] {
			changes = append(changes, "+ "+line.String())
		}
	}
	return changes
}
