package machines

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestFresh guards against a second owner of the instances when many join at once and the group does not list all live
// members: an autoscaler with a recent proof of ownership reports that it is fresh.
func TestFresh(t *testing.T) {
	k := NewKeeper(KeeperConfig{Clock: steady.Clock{}})
	if fresh, err := k.Fresh(context.Background()); fresh || err != nil {
		t.Errorf("autoscaler without a proof: fresh %v, error %v", fresh, err)
	}
	k.recordProof(k.config.Clock.Moment().Steady - 100*time.Millisecond)
	if fresh, err := k.Fresh(context.Background()); !fresh || err != nil {
		t.Errorf("autoscaler with a recent proof: fresh %v, error %v", fresh, err)
	}
	k = NewKeeper(KeeperConfig{Clock: steady.Clock{}})
	k.recordProof(k.config.Clock.Moment().Steady - proofTTL)
	if fresh, _ := k.Fresh(context.Background()); fresh {
		t.Error("an old proof counts as fresh")
	}
}
