package server

import (
	"testing"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/internal/transport/intake"
	"marigoldshed.example/marigoldshed/settings"
)

// TestLimitsFollowFromResources guards against limits that exceed what the process may use, and against those that one body of legal size
// does not fit.
func TestLimitsFollowFromResources(t *testing.T) {
	tests := []struct {
		name                      string
		resources                 intake.Resources
		callers, operators, peers int // connections
	}{
		{"little memory, few descriptors", intake.Resources{Memory: 64 << 20, Descriptors: 300}, 45, 10, 20},
		{"96 MB", intake.Resources{Memory: 96 << 20, Descriptors: 500}, 135, 30, 60},
		{"much of both", intake.Resources{Memory: 64 << 30, Descriptors: 1 << 20}, maxCallers, maxOperators, maxPeers},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLimits(test.resources)
			if l.callers.Connections != test.callers || l.operators.Connections != test.operators || l.peers.Connections != test.peers {
				t.Errorf("%d, %d and %d connections, want %d, %d and %d", l.callers.Connections, l.operators.Connections, l.peers.Connections,
					test.callers, test.operators, test.peers)
			}
			if sum := l.callers.BodyBytes + l.operators.BodyBytes + l.peers.BodyBytes; sum > test.resources.Memory/2 {
				t.Errorf("bodies may hold %d bytes, more than half of the memory", sum)
			}
			if l.callers.BodyBytes < 2*caller.MaxBodyBytes || l.peers.BodyBytes < 2*memberMessageBytes {
				t.Errorf("bodies may hold %d and %d bytes, want room for two of the largest", l.callers.BodyBytes, l.peers.BodyBytes)
			}
		})
	}
}

// TestResources guards against limits that are not in force: those of the settings, or the machine's where there are none.
func TestResources(t *testing.T) {
	if r := Resources(settings.Settings{Memory: 1 << 30, Descriptors: 400}); r.Memory != 1<<30 || r.Descriptors != 400 {
		t.Errorf("%+v, want what the settings say", r)
	}
	if r := Resources(settings.Settings{}); r.Memory <= 0 || r.Descriptors <= 0 {
		t.Errorf("%+v, want a part of the machine's memory and the system's descriptors", r)
	}
}
