package controller

import (
	"context"
	"time"
)

// A process may stand still for seconds or minutes while its clocks run on. What
// reached it meanwhile is old, what it had decided is old, and the silence of
// others in that time is its own. It finds out by how long it has not run.
const (
	attendEvery = 250 * time.Millisecond
	standstill  = 2 * time.Second        // a break longer than that is one
	oldRequests = 500 * time.Millisecond // after a standstill, requests may be as old as it
)

// attend keeps note that the process runs.
func (c *Core) attend(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, attendEvery)
		c.mu.Lock()
		c.awake(time.Now())
		c.mu.Unlock()
	}
	return ctx.Err()
}

// awake tells since when the process has been running without a break. Whoever
// judges by time passed asks first: no duty can be sure to run before another when
// the process goes on.
func (c *Core) awake(now time.Time) time.Time {
	if gap := now.Sub(c.ranAt); gap > standstill && !c.ranAt.IsZero() {
		c.awakeSince = now
		c.log.Warn("stood still", "seconds", gap.Seconds())
		c.Stats.Add("standstills_total", 1)
	}
	if now.After(c.ranAt) {
		c.ranAt = now
	}
	return c.awakeSince
}

// justBack reports whether the process has stood still a moment ago, so that a
// request read now may have waited as long as that.
func (c *Core) justBack(now time.Time) bool {
	since := c.awake(now)
	return !since.IsZero() && now.Sub(since) < oldRequests
}
