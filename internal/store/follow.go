package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	followFirst = 200 * time.Millisecond
	followMost  = 5 * time.Second
)

// Follow keeps a document up to date until ctx ends, and tells of each newer version and of each failed call.
func Follow[T any](ctx context.Context, d *Document[T], changed func(T, Version), failed func(error)) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = followFirst, followMost
	told := Version(0)
	read := d.Load
	for ctx.Err() == nil {
		if err := read(ctx); err != nil {
			failed(err)
			Pause(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		read = d.Watch
		if value, version, loaded := d.Current(); loaded && version > told {
			told = version
			changed(value, version)
		}
	}
}

// Pause waits for a time or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
