package kvstore

import (
	"context"

	"golang.org/x/time/rate"
)

// maxChangesShare is the part of all changes that one controller's rate may grow to.
const maxChangesShare = 0.8

// increaseSteps is how many changes made raise the rate by a whole share.
const increaseSteps = 20

// changeBudget is how many changes a second one controller may make. Its fair share is always its own.
// What the others leave unused it finds out by additive increase after each success and multiplicative
// decrease, down to its share, after each refusal.
type changeBudget struct {
	limiter        *rate.Limiter
	share, maximum rate.Limit // changes a second
}

// newChangeBudget returns the budget of one of count controllers that share a rate of total changes a
// second. It may save up burst changes.
func newChangeBudget(total float64, count, burst int) *changeBudget {
	share := rate.Limit(total / float64(count))
	return &changeBudget{
		limiter: rate.NewLimiter(share, burst),
		share:   share,
		maximum: max(share, rate.Limit(total*maxChangesShare)),
	}
}

// wait waits until the budget has room for n changes and takes them.
func (b *changeBudget) wait(ctx context.Context, n int) error { return b.limiter.WaitN(ctx, n) }

// available returns how many changes the budget has room for now.
func (b *changeBudget) available() int { return int(b.limiter.Tokens()) }

// granted raises the rate after n changes were made.
func (b *changeBudget) granted(n int) {
	b.limiter.SetLimit(min(b.maximum, b.limiter.Limit()+b.share/increaseSteps*rate.Limit(n)))
}

// refused lowers the rate after the service was over its limits.
func (b *changeBudget) refused() { b.limiter.SetLimit(max(b.share, b.limiter.Limit()/2)) }
