package buffer

import (
	"testing"

	"pgregory.net/rapid"
)

// fill adds bytes for a team until they no longer fit, and returns how often they did.
func fill(b *Buffer, team string, bytes int64) int {
	count := 0
	for ; b.Fits(team, bytes); count++ {
		b.Add(team, bytes)
	}
	return count
}

// TestSharesOfTeams guards against a team that takes all of the memory.
func TestSharesOfTeams(t *testing.T) {
	b := New(900)
	tests := []struct {
		team string
		want int
	}{{"red", 60}, {"blue", 20}, {"green", 7}, {"red", 0}}
	for _, test := range tests {
		if got := fill(b, test.team, 10); got != test.want {
			t.Errorf("%s gets %d parts, want %d", test.team, got, test.want)
		}
	}
}

// TestLimits guards against a limit that is not in force or that rejects the first of a team.
func TestLimits(t *testing.T) {
	tests := []struct {
		name  string
		limit int64
		held  int64
		bytes int64
		want  bool
	}{
		{"no limit", 0, 1 << 40, 1 << 40, true},
		{"more than the limit in an empty buffer", 10, 0, 100, true},
		{"more than the limit beside others", 10, 1, 100, false},
		{"up to the limit of one team", 30, 10, 10, true},
	}
	for _, test := range tests {
		b := New(test.limit)
		b.Add("red", test.held)
		if got := b.Fits("red", test.bytes); got != test.want {
			t.Errorf("%s: fits is %v, want %v", test.name, got, test.want)
		}
	}
}

// TestBufferStaysWithinItsLimit guards against sums that drift, and against a limit that is exceeded by more than one part that came to an
// empty buffer.
func TestBufferStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		b := New(limit)
		var held []int64
		var sum int64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "return") {
				b.Add("red", -held[0])
				sum -= held[0]
				held = held[1:]
				continue
			}
			bytes := rapid.Int64Range(1, 200).Draw(t, "bytes")
			if !b.Fits("red", bytes) {
				continue
			}
			b.Add("red", bytes)
			held = append(held, bytes)
			sum += bytes
		}
		if b.Used() != sum || sum > limit && len(held) != 1 {
			t.Fatalf("%d bytes are counted, %d held in %d parts, limit %d", b.Used(), sum, len(held), limit)
		}
	})
}
