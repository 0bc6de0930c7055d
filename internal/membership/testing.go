package membership

import "time"

// TestingT is the part of a testing.TB that SetLastRanForTest needs.
type TestingT interface{ Helper() }

// SetLastRanForTest sets the time at which the process was last observed running, to simulate a pause
// that began then. It is for tests of other packages, which cannot pause the process. The parameter t
// prevents its use outside of tests.
func SetLastRanForTest(t TestingT, m *Membership, lastRan time.Time) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses.lastRan = lastRan
}
