package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// submitSteadily schedules submissions of a team's jobs at a fixed interval and returns a map that is filled with the
// times of submission.
func submitSteadily(w *simulation, prefix, team string, gap, length time.Duration) map[job.ID]time.Duration {
	submitted := map[job.ID]time.Duration{}
	for i := 0; time.Duration(i)*gap < length; i++ {
		name := fmt.Sprintf("%s%014x", prefix, i)
		w.after(time.Duration(i)*gap, func() {
			spec := shortJob(6)
			spec.Team = team
			submitted[job.ID(name)] = w.now
			w.submit(name, spec)
		})
	}
	return submitted
}

// countOnTime counts the jobs that ended within their objective.
func countOnTime(w *simulation, submitted map[job.ID]time.Duration) int {
	spec := shortJob(6)
	count := 0
	for name, at := range submitted {
		if end, ok := w.jobEnds[name]; ok && end-at <= spec.Objective() {
			count++
		}
	}
	return count
}

// TestSurgeKeepsJobsOnTime replays 8 s in which two and a half times as much work arrives as the pool can do. The
// capacity must go to jobs that can still be on time; if it went to the jobs with the next latest start, nearly all
// would be late.
func TestSurgeKeepsJobsOnTime(t *testing.T) {
	for seed := range uint64(5) {
		w := newSimulation(seed, 4)
		w.takeOver()
		w.run(time.Second)
		came := submitSteadily(w, "a0", "", 108*time.Millisecond, 8*time.Second)
		w.run(40 * time.Second)
		// 16 cores do 3.7 jobs of 4.3 core-seconds per second: 30 in 8 s, of which three quarters are required.
		if got := countOnTime(w, came); got < 22 {
			t.Errorf("seed %d: %d of %d jobs ended on time, want 22", seed, got, len(came))
		}
		if len(w.jobEnds) < len(came) {
			t.Errorf("seed %d: only %d of %d jobs have ended", seed, len(w.jobEnds), len(came))
		}
		for _, b := range w.violations {
			t.Error(b)
		}
	}
}

// TestSurgeOfOneTeam replays a surge of one team beside another team. If the other team requests less than its share,
// its jobs stay on time; if both request more than there is, capacity is split by weight.
func TestSurgeOfOneTeam(t *testing.T) {
	tests := []struct {
		name    string
		weights map[string]int
		gap     time.Duration // interval between the jobs of the small team
		least   float64       // minimum fraction of its jobs on time
		times   float64       // wanted ratio of its jobs on time to the big team's, 0 for any
	}{
		{"below its share", map[string]int{"big": 10, "small": 10}, 670 * time.Millisecond, 0.75, 0},
		{"equal shares", map[string]int{"big": 10, "small": 10}, 135 * time.Millisecond, 0, 1},
		{"twice the share", map[string]int{"big": 10, "small": 20}, 135 * time.Millisecond, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked, got, other := 0, 0, 0
			for seed := range uint64(5) {
				w := newSimulation(seed, 4)
				w.takeOver().pool.SetWeights(test.weights)
				w.run(time.Second)
				big := submitSteadily(w, "b0", "big", 135*time.Millisecond, 8*time.Second)
				small := submitSteadily(w, "a0", "small", test.gap, 8*time.Second)
				w.run(40 * time.Second)
				asked, got, other = asked+len(small), got+countOnTime(w, small), other+countOnTime(w, big)
			}
			if float64(got) < test.least*float64(asked) {
				t.Errorf("%d of %d jobs ended on time", got, asked)
			}
			if times := float64(got) / float64(max(1, other)); test.times > 0 && (times < 0.75*test.times || times > 1.33*test.times) {
				t.Errorf("%d jobs of the small team and %d of the big team ended on time, want %v to 1", got, other, test.times)
			}
		})
	}
}
