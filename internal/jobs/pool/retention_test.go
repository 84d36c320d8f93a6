package pool

import (
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestEndedJobIsKeptWhileClocksDiffer guards against review/7 (LOST): the age of an ended job was taken from two owners' times of
// day, so a job whose first owner's clock was behind was forgotten before its retention time was over.
func TestEndedJobIsKeptWhileClocksDiffer(t *testing.T) {
	const retention, maxSkew = 2 * time.Minute, 5 * time.Second
	tests := []struct {
		name          string
		first, second time.Duration   // what the owners' times of day are off
		ages          []time.Duration // of the job, when it is handed to another owner
	}{
		{"no clock is off", 0, 0, []time.Duration{30 * time.Second}},
		{"the first clock is behind", -2 * time.Second, 0, []time.Duration{10 * time.Second}},
		{"the second clock is ahead", 0, 2 * time.Second, []time.Duration{118500 * time.Millisecond}},
		{"both are off as far as they may be", -maxSkew, maxSkew, []time.Duration{115 * time.Second}},
		{"the first clock is ahead", maxSkew, -maxSkew, []time.Duration{time.Second}},
		{"many owners", -maxSkew, maxSkew, []time.Duration{20 * time.Second, 60 * time.Second, 90 * time.Second, 119 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ended := time.Unix(1_000_000, 0)
			j := job.New(job.Spec{ID: "0000000000000001", Steps: []job.Step{{Count: 1}}})
			j.Cancel(ended.Add(test.first))
			progress := j.Progress()
			var p *Pool
			at := func(age time.Duration) Moment {
				return Moment{Steady: time.Hour + age, Wall: ended.Add(age + test.second)}
			}
			known := func(age time.Duration) bool {
				p.Tick(at(age))
				return p.Spec(j.Spec.ID) != nil
			}
			for _, age := range test.ages {
				p = New(Config{Name: "p", Retention: retention, MaxSkew: maxSkew})
				p.Restore(at(age), []StoredState{{Spec: j.Spec, Progress: &progress}})
			}
			if !known(retention - time.Millisecond) {
				t.Error("the job is forgotten before its retention time is over")
			}
			if known(retention + 4*maxSkew + time.Second) {
				t.Error("the job is kept for longer than clocks that are off explain")
			}
		})
	}
}
