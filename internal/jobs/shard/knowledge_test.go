package shard

import (
	"testing"
	"time"
)

// TestKnowledgeLeavesAnAllowance checks how old what an owner knows may be when it decides on a start and when it sends it, for
// timeouts of different lengths: there is always some time between the two.
func TestKnowledgeLeavesAnAllowance(t *testing.T) {
	tests := []struct{ timeout, decided, sent time.Duration }{
		{0, 1500 * time.Millisecond, 2 * time.Second},
		{3 * time.Second, 1500 * time.Millisecond, 2 * time.Second},
		{4 * time.Second, 2500 * time.Millisecond, 3 * time.Second},
		{1500 * time.Millisecond, 750 * time.Millisecond, time.Second},
	}
	const now, proof = time.Minute, time.Minute
	for _, test := range tests {
		set := &Settings{CancelTimeout: test.timeout}
		for _, allowed := range []struct {
			name           string
			age, allowance time.Duration
		}{{"decided", test.decided, decisionAllowance}, {"sent", test.sent, sendAllowance}} {
			for _, late := range []bool{false, true} {
				known := knowledge{intake: now - allowed.age, proof: proof, operators: now}
				if late {
					known.intake -= time.Millisecond
				}
				if got := known.allows(set, now, allowed.allowance); got == late {
					t.Errorf("timeout %v, %s, intake seen as of %v ago: allowed %v", test.timeout, allowed.name, now-known.intake, got)
				}
			}
		}
	}
}
