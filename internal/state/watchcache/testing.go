package watchcache

import (
	"time"

	"maddermill/wire"
)

// TestingT is the part of a testing.TB that SetStateForTest needs.
type TestingT interface{ Helper() }

// SetStateForTest has a cache whose goroutines do not run take its records for read, use a fencing
// token, and take a time for that of its last sync. The cache's lock must be held where anything else
// uses the cache. It is for tests of other packages, which is why it needs a test: tests that run the
// goroutines need none of it.
func SetStateForTest(t TestingT, c *Cache, token wire.FencingToken, syncedAt time.Time) {
	t.Helper()
	c.loaded, c.token, c.syncedAt = true, token, syncedAt
}
