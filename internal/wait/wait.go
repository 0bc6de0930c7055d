// Package wait waits for a time or for the end of a context, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
