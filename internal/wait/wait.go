// Package wait provides a sleep that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// For blocks for d or until ctx is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
