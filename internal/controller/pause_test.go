package controller

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPauseAtEachStep checks a pause of a controller's process for 50 s at each step of a start, an exit, a
// scale-in, a scale-out, a format change, archiving and the pruning of machines, before the request is sent
// and before its answer is read. What the controller sends after the pause must violate no invariant, and the
// other controllers must finish its work.
func TestPauseAtEachStep(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{
		"start", "exit", "machine phase", "scale-in", "scale-out record", "scale-out", "format", "archive", "machines pruned",
	} {
		for _, side := range []string{" sent", " answered"} {
			t.Run(kind+side, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newTestCluster(t, 5)
					cluster.noRandomFaults, cluster.archiving, cluster.pauseAtStep = true, true, kind+side
					finished := cluster.run(6*time.Minute, 24, 0)
					cluster.checkArchive()
					cluster.reportViolations()
					if !cluster.pausedAtStep || finished < 20 {
						t.Errorf("got paused %v and %d of 24 jobs finished, want true and >= 20", cluster.pausedAtStep, finished)
					}
				})
			})
		}
	}
}
