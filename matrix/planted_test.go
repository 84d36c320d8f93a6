package matrix

import (
	"strings"
	"testing"
	"testing/synctest"

	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/trial"
)

// TestPlanted guards against checks that can never fail: for each of the listed guarantees, switching off its
// mechanism must make its check fail under at least one of a few loads.
func TestPlanted(t *testing.T) {
	tests := []struct {
		guarantee      string
		disabledChecks entry.DisabledChecks
		step           step
		fault          string
	}{
		{"every availability budget holds", entry.DisabledChecks{IgnoreBudget: true}, stepReboot, "list-late"},
		{"an instance belongs to exactly one pool", entry.DisabledChecks{ClearEarly: true}, stepShift, "list-late"},
		{"a key works for its team and queues only", entry.DisabledChecks{AcceptAnyKey: true}, stepEnter, "list-late"},
		{"a key works for its team and queues only", entry.DisabledChecks{IgnoreWithdrawals: true}, stepWithdraw, "log-down"},
		{"no team has more running than its upper limit", entry.DisabledChecks{IgnoreLimits: true}, stepCrowd, "list-late"},
		{"no task starts in a data centre that was taken out", entry.DisabledChecks{IgnoreOuts: true}, stepOut, "list-late"},
		{"a caller gets the whole answer", entry.DisabledChecks{AcceptShortAnswers: true}, stepAnswer, "truncates"},
		{"a refusal saying not run is true", entry.DisabledChecks{ReportNotRun: true}, stepRun, "dies-late"},
		{"a non-idempotent request runs at most once", entry.DisabledChecks{RetryUnknown: true}, stepRun, "dies-late"},
		{"a non-idempotent request runs at most once", entry.DisabledChecks{IgnoreIdempotencyKeys: true}, stepRun, "dies-late"},
		{"a leaving endpoint gets no new work", entry.DisabledChecks{IgnoreLeaving: true}, stepHold, "list-late"},
		{"every planned stop cuts off no request", entry.DisabledChecks{ClearEarly: true}, stepFull, "list-late"},
		{"a configuration is in force", entry.DisabledChecks{IgnoreNewRules: true}, stepForce, "list-late"},
	}
	for _, tt := range tests {
		t.Run(tt.guarantee+"/"+tt.fault, func(t *testing.T) {
			t.Parallel()
			seen := false
			for seed := uint64(1); seed <= repetitions && !seen; seed++ {
				synctest.Test(t, func(t *testing.T) {
					seen = isViolated(run(t, tt.step, faultOf(t, tt.fault), nil, seed, tt.disabledChecks), tt.guarantee)
				})
			}
			if !seen {
				t.Errorf("the check of %q passed although its mechanism was disabled: %+v", tt.guarantee, tt.disabledChecks)
			}
		})
	}
}

func faultOf(t *testing.T, name string) fault {
	t.Helper()
	for _, f := range faults() {
		if f.name == name {
			return f
		}
	}
	t.Fatalf("no fault is named %q", name)
	return fault{}
}

func isViolated(verdicts []trial.Verdict, guarantee string) bool {
	for _, v := range verdicts {
		if strings.HasPrefix(v.Guarantee, guarantee) && len(v.Violations) > 0 {
			return true
		}
	}
	return false
}
