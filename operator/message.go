package operator

import (
	"fmt"

	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// Rules is the rules file in force.
type Rules struct {
	Version int    `json:"version"`
	Text    string `json:"text"`
}

// Apply asks to put a rules file into force in place of the version it is based on.
type Apply struct {
	Base int    `json:"base"`
	Text string `json:"text"`
	By   string `json:"by"`
}

// Edit asks to set or remove single rules.
type Edit struct {
	Set    []string    `json:"set,omitempty"`
	Remove []rules.Ref `json:"remove,omitempty"`
	By     string      `json:"by"`
}

// ExpireRequest reports that a member has ended permanently.
type ExpireRequest struct {
	Member string `json:"member"`
	By     string `json:"by"`
}

// Result is the result of a change.
type Result struct {
	Outcome fleet.Outcome `json:"outcome"`
	Pending bool          `json:"pending,omitempty"` // the log has not confirmed it yet
	Detail  string        `json:"detail,omitempty"`
}

// RefusedError reports a change that was refused.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e RefusedError) Error() string { return "refused: " + e.Reason }

// PendingError reports a change that the log has not confirmed yet.
type PendingError struct{ Detail string }

// Error returns the detail.
func (e PendingError) Error() string { return "pending: " + e.Detail }

// StatusError reports an answer with a status other than success.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and body.
func (e StatusError) Error() string {
	return fmt.Sprintf("the instance answered %d: %s", e.Status, e.Body)
}
