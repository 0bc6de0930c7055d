package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/wire"
)

// slowFirstFetch makes the first task of some jobs fetch for longer than the other tasks of a gang wait for it.
func slowFirstFetch(_ wire.MachineID, task wire.TaskID) time.Duration {
	if task.Index == 0 && task.Job[len(task.Job)-1]%3 == 0 {
		return 40 * time.Second
	}
	return 3 * time.Second
}

// TestRandomHistories runs seeded histories with random jobs and faults and with lost and delayed messages,
// and checks all invariants during the run.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= seedCount(); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, seed)
				cluster.archiving, cluster.duplicateMessages = seed%3 != 0, seed%2 == 0
				cluster.world.Fetch = slowFirstFetch
				finished := cluster.run(10*time.Minute, 40, 0.03)
				cluster.checkArchive()
				cluster.reportViolations()
				if cluster.world.Starts == 0 || finished < 25 {
					t.Errorf("got %d tasks started and %d of 40 jobs finished, want > 0 and >= 25", cluster.world.Starts, finished)
				}
				t.Logf("%d starts, %d tasks done, %d jobs finished", cluster.world.Starts, cluster.world.DoneTasks(), finished)
			})
		})
	}
}
