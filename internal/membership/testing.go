package membership

import "time"

// TestingT is the part of a testing.TB that SetLastRanForTest needs.
type TestingT interface{ Helper() }

// SetLastRanForTest has a membership take a time for the last at which this process ran, so that a later
// one seems to come after a pause. It is for tests of other packages, which is why it needs a test:
// they can't pause the process.
func SetLastRanForTest(t TestingT, m *Membership, lastRan time.Time) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses.lastRan = lastRan
}
