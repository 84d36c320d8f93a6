package pool

import (
	"fmt"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// begin plans jobs of a team at a steady gap for a time, and returns the times at which they have come.
func begin(w *world, prefix, team string, gap, length time.Duration) map[job.ID]time.Duration {
	came := map[job.ID]time.Duration{}
	for i := 0; time.Duration(i)*gap < length; i++ {
		name := fmt.Sprintf("%s%014x", prefix, i)
		w.after(time.Duration(i)*gap, func() {
			spec := shortJob(6)
			spec.Team = team
			came[job.ID(name)] = w.now
			w.submit(name, spec)
		})
	}
	return came
}

// endedInTime counts the jobs that ended within their allowed time.
func endedInTime(w *world, came map[job.ID]time.Duration) int {
	spec := shortJob(6)
	count := 0
	for name, at := range came {
		if end, ok := w.ended[name]; ok && end-at <= spec.Objective() {
			count++
		}
	}
	return count
}

// TestSurgeInTime replays 8 s in which two and a half times as much work comes as the pool holds. The room is spent on
// jobs that can still be in time; were it spent on those whose latest start is next, nearly all would be late.
func TestSurgeInTime(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 4)
		w.takeOver()
		w.run(time.Second)
		came := begin(w, "a0", "", 108*time.Millisecond, 8*time.Second)
		w.run(40 * time.Second)
		// 16 cores do 3.7 jobs of 4.3 core-seconds a second: 30 in 8 s, of which three quarters are asked for.
		if got := endedInTime(w, came); got < 22 {
			t.Errorf("seed %d: %d of %d jobs end in time, 22 asked for", seed, got, len(came))
		}
		if len(w.ended) < len(came) {
			t.Errorf("seed %d: %d of %d jobs have ended", seed, len(w.ended), len(came))
		}
		for _, b := range w.broken {
			t.Error(b)
		}
	}
}

// TestSurgeOfOneTeam replays a surge of one team beside another that asks for less than its share: the other's jobs
// go on being in time, and a team of twice the weight gets twice as much when both ask for more than there is.
func TestSurgeOfOneTeam(t *testing.T) {
	tests := []struct {
		name    string
		weights map[string]int
		gap     time.Duration // between the jobs of the team that is watched
		least   float64       // part of its jobs that must be in time
		times   float64       // its jobs in time as a multiple of the other's, 0 for any
	}{
		{"below its share", map[string]int{"big": 10, "small": 10}, 670 * time.Millisecond, 0.75, 0},
		{"equal shares", map[string]int{"big": 10, "small": 10}, 135 * time.Millisecond, 0, 1},
		{"twice the share", map[string]int{"big": 10, "small": 20}, 135 * time.Millisecond, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked, got, other := 0, 0, 0
			for seed := range uint64(5) {
				w := newWorld(seed, 4)
				w.takeOver().pool.SetWeights(test.weights)
				w.run(time.Second)
				big := begin(w, "b0", "big", 135*time.Millisecond, 8*time.Second)
				small := begin(w, "a0", "small", test.gap, 8*time.Second)
				w.run(40 * time.Second)
				asked, got, other = asked+len(small), got+endedInTime(w, small), other+endedInTime(w, big)
			}
			if float64(got) < test.least*float64(asked) {
				t.Errorf("%d of %d jobs end in time", got, asked)
			}
			if times := float64(got) / float64(max(1, other)); test.times > 0 && (times < 0.75*test.times || times > 1.33*test.times) {
				t.Errorf("%d jobs of one team and %d of the other end in time, asked for %v to 1", got, other, test.times)
			}
		})
	}
}
