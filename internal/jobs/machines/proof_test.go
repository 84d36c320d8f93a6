package machines

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestHasRecentProof guards against a second owner of the instances when many join at once and the group does not list
// all live members: an autoscaler with a recent proof of ownership reports that it has one.
func TestHasRecentProof(t *testing.T) {
	a := NewAutoscaler(AutoscalerConfig{Clock: steady.Clock{}})
	if recent, err := a.HasRecentProof(context.Background()); recent || err != nil {
		t.Errorf("autoscaler without a proof: recent %v, error %v", recent, err)
	}
	a.recordProof(a.config.Clock.Moment().Steady - 100*time.Millisecond)
	if recent, err := a.HasRecentProof(context.Background()); !recent || err != nil {
		t.Errorf("autoscaler with a recent proof: recent %v, error %v", recent, err)
	}
	a = NewAutoscaler(AutoscalerConfig{Clock: steady.Clock{}})
	a.recordProof(a.config.Clock.Moment().Steady - proofTTL)
	if recent, _ := a.HasRecentProof(context.Background()); recent {
		t.Error("an old proof counts as recent")
	}
}
