package machines

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestFresh tells others to leave the instances to a keeper that has lately proved that it owns them, as when many
// instances join at once and the group does not list all who live.
func TestFresh(t *testing.T) {
	k := NewKeeper(KeeperConfig{Clock: steady.Clock{}})
	if fresh, err := k.Fresh(context.Background()); fresh || err != nil {
		t.Errorf("a keeper that has proved nothing is fresh: %v, %v", fresh, err)
	}
	k.recordProof(k.config.Clock.Moment().Steady - 100*time.Millisecond)
	if fresh, err := k.Fresh(context.Background()); !fresh || err != nil {
		t.Errorf("a keeper with a proof is not fresh: %v, %v", fresh, err)
	}
	k = NewKeeper(KeeperConfig{Clock: steady.Clock{}})
	k.recordProof(k.config.Clock.Moment().Steady - proofTTL)
	if fresh, _ := k.Fresh(context.Background()); fresh {
		t.Error("an old proof counts as fresh")
	}
}
