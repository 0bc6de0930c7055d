package kvstore

import (
	"context"

	"golang.org/x/time/rate"
)

// maxRateShare is the fraction of the total rate that one controller's rate may grow to.
const maxRateShare = 0.8

// changesPerShareIncrease is the number of successful changes that raise the rate by one fair share.
const changesPerShareIncrease = 20

// changeBudget limits the rate of one controller's changes, a change being one put or delete of a
// transaction. The rate is never below the controller's fair share. To use what other controllers leave
// unused, it follows AIMD: additive increase after each success, multiplicative decrease, down to the fair
// share, when the service reports that its limits are exceeded.
type changeBudget struct {
	limiter            *rate.Limiter
	fairShare, maxRate rate.Limit // changes per second
}

// newChangeBudget returns the budget of one of count controllers that share a rate of total changes per
// second. It accumulates at most burst changes.
func newChangeBudget(total float64, count, burst int) *changeBudget {
	share := rate.Limit(total / float64(count))
	return &changeBudget{
		limiter:   rate.NewLimiter(share, burst),
		fairShare: share,
		maxRate:   max(share, rate.Limit(total*maxRateShare)),
	}
}

// wait blocks until n changes are available and consumes them.
func (b *changeBudget) wait(ctx context.Context, n int) error { return b.limiter.WaitN(ctx, n) }

// available returns the number of changes that are available without waiting.
func (b *changeBudget) available() int { return int(b.limiter.Tokens()) }

// increase raises the rate after n changes succeeded.
func (b *changeBudget) increase(n int) {
	b.limiter.SetLimit(min(b.maxRate, b.limiter.Limit()+b.fairShare/changesPerShareIncrease*rate.Limit(n)))
}

// decrease halves the rate, but not below the fair share, after the service reported exceeded limits.
func (b *changeBudget) decrease() { b.limiter.SetLimit(max(b.fairShare, b.limiter.Limit()/2)) }
