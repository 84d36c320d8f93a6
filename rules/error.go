package rules

import (
	"fmt"
	"strings"
)

// LineError is one fault of a rules file, at a line counted from one.
type LineError struct {
	Line   int
	Reason string
}

// Error returns the line and the reason.
func (e LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Errors lists every fault of a rules file.
type Errors []LineError

// Error returns the faults, one a line.
func (e Errors) Error() string {
	texts := make([]string, 0, len(e))
	for _, fault := range e {
		texts = append(texts, fault.Error())
	}
	return strings.Join(texts, "\n")
}
