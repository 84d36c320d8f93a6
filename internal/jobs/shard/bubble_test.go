package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// playBubble plays in a bubble of its own time. The context ends after the play, and owners have some time to end then.
func playBubble(t *testing.T, play func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(5 * time.Second) // until all goroutines have ended
		defer cancel()
		play(ctx, t)
	})
}
