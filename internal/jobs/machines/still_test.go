package machines

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// countedMachines counts the orders that it is given.
type countedMachines struct {
	worker.Machines
	orders int
}

func (m *countedMachines) Move(context.Context, string, string, string, int64) error {
	m.orders++
	return nil
}

func (m *countedMachines) Maintain(context.Context, string, int, string, int64) error {
	m.orders++
	return nil
}

// TestKeeperStandsStillBeforeItSends gives no order that was decided before the process stood still for longer than a
// proof holds: a successor may have ordered the same instance about by then.
func TestKeeperStandsStillBeforeItSends(t *testing.T) {
	tests := []struct {
		name  string
		still time.Duration
		want  int
	}{
		{"it goes on", 0, 2},
		{"it stands still for a moment", proofLife / 2, 2},
		{"it stands still for long", proofLife + 100*time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &countedMachines{}
			k := NewKeeper(KeeperConfig{Log: &keptLog{}, Machines: service, Clock: steady.Clock{}, Logger: zap.NewNop(), Turn: 3 * time.Second})
			if err := k.takeOver(t.Context()); err != nil {
				t.Fatal(err)
			}
			k.proven.Store(int64(k.provenAt() - test.still))
			for _, a := range []Action{MoveAction{Instance: "m0", Pool: "p"}, MaintainAction{Instance: "m1", Wave: 1}} {
				o := &order{keeper: k, action: a}
				o.run(t.Context())
			}
			if service.orders != test.want || len(k.outcomes) != 2 {
				t.Errorf("%d orders and %d outcomes", service.orders, len(k.outcomes))
			}
		})
	}
}
