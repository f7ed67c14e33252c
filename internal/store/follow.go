package store

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Follow keeps a document up to date until ctx ends; it reports each newer version to onChange and each failed call to onError.
func Follow[T any](ctx context.Context, d *Document[T], onChange func(T, Version), onError func(error)) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minRetryDelay, maxRetryDelay
	reported := Version(0)
	read := d.Load
	for ctx.Err() == nil {
		if err := read(ctx); err != nil {
			onError(err)
			Pause(ctx, retryDelay.NextBackOff())
			continue
		}
		retryDelay.Reset()
		read = d.Watch
		if value, version, loaded := d.Current(); loaded && version > reported {
			reported = version
			onChange(value, version)
		}
	}
}

// Pause waits for a duration or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
