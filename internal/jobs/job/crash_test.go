package job

import (
	"testing"
	"time"
)

// TestCrashesAtOneAgeAddUp guards against incident 25: a task that crashed each worker that started it was never told
// from tasks whose workers crash for other reasons.
func TestCrashesAtOneAgeAddUp(t *testing.T) {
	const ms = time.Millisecond
	crash := func(instance string, from, until time.Duration, suspect bool) Crash {
		return Crash{Instance: instance, From: from, Until: until, Suspect: suspect, Certain: true}
	}
	notSeen := func(instance string, until time.Duration, suspect bool) Crash {
		return Crash{Instance: instance, Until: until, Suspect: suspect}
	}
	tests := []struct {
		name      string
		crashes   []Crash
		strikes   int
		suspected bool
	}{
		{"right after the start, twice", []Crash{crash("a", 0, 30*ms, true), crash("b", 0, 40*ms, true)}, 2, true},
		{"right after the start, twice on one instance", []Crash{crash("a", 0, 30*ms, true), crash("a", 0, 40*ms, true)}, 2, true},
		{"once, among older runs", []Crash{crash("a", 500*ms, 600*ms, false)}, 1, false},
		{"twice in the middle of the work", []Crash{crash("a", 400*ms, 500*ms, false), crash("b", 0, 1200*ms, false)}, 2, true},
		{"in the middle of the work on one instance", []Crash{crash("a", 400*ms, 500*ms, false), crash("a", 0, 1200*ms, false)}, 1, false},
		{"twice beside others", []Crash{crash("a", 400*ms, 500*ms, false), crash("b", 100*ms, 200*ms, false)}, 1, false},
		{"at different ages", []Crash{crash("a", 0, 30*ms, true), crash("b", 400*ms, 500*ms, true)}, 1, true},
		{"earlier than before", []Crash{crash("a", 400*ms, 500*ms, true), crash("b", 0, 30*ms, true)}, 1, true},
		{"once before the run had arrived", []Crash{notSeen("a", 5*ms, true), crash("b", 0, 15*ms, true)}, 1, true},
		{"before any answer, then alone", []Crash{notSeen("a", 5*ms, true), {Instance: "b", Until: 15 * ms, Suspect: true, Alone: true}}, 1, true},
		{"twice at unknown ages on one instance", []Crash{crash("a", 0, UnknownAge, false), crash("a", 0, UnknownAge, false)}, 1, true},
		{"three that no owner has seen", []Crash{notSeen("a", time.Hour, false), notSeen("b", time.Hour, false), notSeen("c", time.Hour, false)}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c CrashRecord
			for _, crash := range test.crashes {
				c.Add(crash)
			}
			if c.Strikes != test.strikes || c.Suspected != test.suspected || c.Crashes != len(test.crashes) {
				t.Errorf("%+v, want %d strikes, suspected %v", c, test.strikes, test.suspected)
			}
		})
	}
}

// TestOlderRunClearsTask checks that a run that outlives the age of the crashes clears its task, and a younger one does
// not.
func TestOlderRunClearsTask(t *testing.T) {
	var c CrashRecord
	c.Add(Crash{Instance: "a", Until: 30 * time.Millisecond, Suspect: true, Certain: true})
	if c.Outlive(60*time.Millisecond) || !c.Suspected {
		t.Errorf("cleared at an age at which the worker may still crash: %+v", c)
	}
	if !c.Outlive(100*time.Millisecond) || c.Suspected || c.Strikes != 0 || c.Crashes != 1 {
		t.Errorf("not cleared by an older run: %+v", c)
	}
}
