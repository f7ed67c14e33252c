package wait

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Notify sends a signal on a channel of capacity one, unless a signal is already pending.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
