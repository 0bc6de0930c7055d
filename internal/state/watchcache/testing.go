package watchcache

import (
	"time"

	"maddermill/wire"
)

// TestingT is the part of a testing.TB that SetStateForTest needs.
type TestingT interface{ Helper() }

// SetStateForTest marks the records of a cache as loaded and sets its fencing token and the time of its
// last sync. It is for tests of other packages that do not run the cache's goroutines, and takes a
// TestingT so that it is called only from tests. The cache's lock must be held if anything else uses the cache.
func SetStateForTest(t TestingT, c *Cache, token wire.FencingToken, syncedAt time.Time) {
	t.Helper()
	c.loaded, c.token, c.syncedAt = true, token, syncedAt
}
