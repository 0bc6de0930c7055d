package controller

import "time"

const (
	// maxSyncAge is how long after its last sync with the state service a controller counts as in
	// touch with it.
	maxSyncAge = 2500 * time.Millisecond
	// isolationGrace is how long a controller stays healthy that reaches neither the state service
	// nor any peer.
	isolationGrace = 8 * time.Second
)

// Healthy reports whether the balancer should send users here: the records are loaded and the state
// service answers, or no other controller is known to be better off. Commanding workers also
// requires a fencing token, users' requests don't.
//
// A controller that has just started is therefore healthy while it loads the records; requests
// wait for that. Otherwise the balancer would remove it, for at least 3 s and for up to a minute
// after repeated restarts. A controller that starts in an outage of the state service that affects
// all is not removed either, or no controller would be there to answer after it. One that reaches
// neither the state service nor any peer for isolationGrace can't tell whether it alone is cut off,
// so it reports itself as unhealthy: users that keep their connections to it would otherwise never
// be answered.
func (c *Controller) Healthy() bool {
	now := time.Now()
	c.cache.Lock()
	loaded, syncedAt := c.cache.Loaded(), c.cache.SyncedAt()
	c.cache.Unlock()
	if loaded && now.Sub(syncedAt) < maxSyncAge {
		return true
	}
	// If a peer reaches the state service, only this controller is cut off from it.
	if c.membership.PeersReachStore(now) {
		return false
	}
	lastContact := c.boot
	for _, at := range []time.Time{syncedAt, c.membership.LastStatusAt()} {
		if at.After(lastContact) {
			lastContact = at
		}
	}
	return len(c.set.Peers) == 0 || now.Sub(lastContact) < isolationGrace
}
