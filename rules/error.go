package rules

import (
	"fmt"
	"strings"
)

// LineError is one error of a rules file; lines are counted from one.
type LineError struct {
	Line   int
	Reason string
}

// Error returns the line and the reason.
func (e LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Errors lists every error of a rules file.
type Errors []LineError

// Error returns the errors, one per line.
func (e Errors) Error() string {
	texts := make([]string, 0, len(e))
	for _, err := range e {
		texts = append(texts, err.Error())
	}
	return strings.Join(texts, "\n")
}
