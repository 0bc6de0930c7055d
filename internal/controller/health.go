package controller

import "time"

const (
	// maxSyncAge is how long after its last sync with the state service a controller still counts as
	// connected to it.
	maxSyncAge = 2500 * time.Millisecond
	// isolationGrace is how long a controller that reaches neither the state service nor any peer still
	// reports itself as healthy.
	isolationGrace = 8 * time.Second
)

// Healthy reports whether the load balancer should send user requests to this controller: its records are
// loaded and the state service responds, or no other controller is known to be in a better state. Commands
// to workers also require a fencing token; user requests don't.
//
// A controller that has just started is therefore healthy while it loads the records, and requests wait
// until it has. Otherwise the balancer would remove it for at least 3 s, and for up to a minute after
// repeated restarts. A controller that starts during an outage of the state service that affects all
// controllers stays healthy too; otherwise none would be available when the outage ends. A controller that
// has reached neither the state service nor any peer for isolationGrace can't tell whether it alone is cut
// off and reports itself as unhealthy: users with open connections to it would otherwise never get a
// response.
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
	lastContact := c.startedAt
	for _, at := range []time.Time{syncedAt, c.membership.LastStatusAt()} {
		if at.After(lastContact) {
			lastContact = at
		}
	}
	return len(c.set.Peers) == 0 || now.Sub(lastContact) < isolationGrace
}
