package model

import (
	"fmt"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// transition is a step from one state of the records to another, and what breaks the rules in it.
type transition struct {
	before, after State
	// terminated reports whether the task of a claim is known to have ended.
	terminated func(wire.TaskID, ledger.Claim) bool
	violations []string
}

// Check returns the violations of the rules in the transition between two states. Teams may use
// at most limits in GPUs. proven reports whether the task of a claim is known to have ended; it is
// called only for claims that are gone.
func Check(before, after State, limits map[wire.Team]float64, proven func(wire.TaskID, ledger.Claim) bool) []string {
	t := &transition{before: before, after: after, terminated: proven}
	for id, old := range before.Jobs {
		t.checkJob(id, old)
	}
	t.checkArchive()
	t.checkMachinePhases()
	used := map[wire.Team]float64{}
	for id, now := range after.Jobs {
		for range now.Claims {
			used[now.Spec.Team] += now.Spec.GPUs
		}
		if now.State == ledger.Done && now.Count != now.Spec.Tasks {
			t.violate("not_done: %s with %d of %d", id, now.Count, now.Spec.Tasks)
		}
		t.checkStarts(id, now)
	}
	for team, limit := range limits {
		if used[team] > limit {
			t.violate("quota: %s uses %g of %g", team, used[team], limit)
		}
	}
	return t.violations
}

// violate records a violation.
func (t *transition) violate(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// checkJob checks that a job that was on record still is, or is archived, and lost nothing.
func (t *transition) checkJob(id wire.JobID, old Job) {
	now, recorded := t.after.Jobs[id]
	final, archived := t.after.Final[id]
	switch {
	case recorded && archived:
		t.violate("both on record and archived: %s", id)
	case archived:
		t.checkArchived(id, old, final)
		return
	case !recorded:
		t.violate("forgotten: %s", id)
		return
	}
	if old.State != ledger.Active && now.State != old.State {
		t.violate("went_back: %s from %s to %q", id, old.State, now.State)
	}
	if now.Count < old.Count {
		t.violate("went_back: %s has %d tasks done, and had %d", id, now.Count, old.Count)
	}
	for index := range old.Done {
		if !now.Done[index] && now.State == ledger.Active {
			t.violate("went_back: %s/%d is no longer done", id, index)
		}
	}
	for index, claim := range old.Claims {
		if now.Claims[index] != claim && !takenOver(claim, now.Claims[index], now.Spec.Shape) &&
			!t.terminated(wire.TaskID{Job: id, Index: index}, claim) {
			t.violate("ran_twice: the claim of %s/%d on %s went without proof", id, index, claim.Machine)
		}
	}
}

// checkArchived checks that a job was archived in its final state, without claims.
func (t *transition) checkArchived(id wire.JobID, old Job, final ledger.FinalRecord) {
	if old.State == ledger.Active || final.State != old.State || final.Done != old.Count {
		t.violate("went_back: %s with %d tasks done is %q, archived %q with %d",
			id, old.Count, old.State, final.State, final.Done)
	}
	if len(old.Claims) > 0 {
		t.violate("ran_twice: %s is archived with claims", id)
	}
}

// checkArchive checks that the archive keeps its jobs, that none of them is on record again, and
// that the ledger's filter finds all of them.
func (t *transition) checkArchive() {
	for id, old := range t.before.Final {
		if now, ok := t.after.Final[id]; !ok || now != old {
			t.violate("forgotten: archived %s", id)
		}
		if _, ok := t.after.Jobs[id]; ok {
			t.violate("accepted anew: %s", id)
		}
	}
	for id := range t.after.Final {
		if !t.after.Passed[id] {
			t.violate("forgotten: the filter lacks %s", id)
		}
	}
}

// checkMachinePhases checks that no machine returns to an earlier phase.
func (t *transition) checkMachinePhases() {
	for id, old := range t.before.Marks {
		if now := t.after.Marks[id]; now != old && (old == ledger.Terminated || now == "") {
			t.violate("a mark went back: %s from %s to %q", id, old, now)
		}
	}
}

// checkStarts checks the claims of a job that are new, and the job's placement if there are any.
func (t *transition) checkStarts(id wire.JobID, now Job) {
	old := t.before.Jobs[id]
	zones := map[wire.Zone]int{}
	started := false
	for index, claim := range now.Claims {
		zones[claim.Zone]++
		if old.Claims[index] != claim {
			started = true
			t.checkStart(id, index, claim, old, now)
		}
	}
	if !started {
		return
	}
	if now.Spec.OneZone && len(zones) > 1 {
		t.violate("wrong_place: %s is not together", id)
	}
	for zone, n := range zones {
		if now.Spec.Spread && n > (now.Spec.Tasks+1)/2 {
			t.violate("wrong_place: %d of %s in %s", n, id, zone)
		}
	}
	if now.Spec.Shape == wire.Gang && len(now.Claims)+len(now.Done) != now.Spec.Tasks {
		t.violate("a part of gang %s starts", id)
	}
}

// checkStart checks that a task that starts was to run, and on a machine that may run it.
func (t *transition) checkStart(id wire.JobID, index wire.TaskIndex, claim ledger.Claim, old, now Job) {
	if now.Done[index] {
		t.violate("a done task starts: %s/%d", id, index)
	}
	if old.State != ledger.Active {
		t.violate("ran_cancelled: %s/%d starts", id, index)
	}
	if t.before.Marks[claim.Machine] != "" {
		t.violate("a start on a leaving machine: %s/%d on %s", id, index, claim.Machine)
	}
	if now.Spec.Zone != nil && *now.Spec.Zone != claim.Zone {
		t.violate("wrong_place: %s/%d in %s", id, index, claim.Zone)
	}
}

// takenOver reports whether a claim of a gang's task differs from before by a newer token only.
func takenOver(old, now ledger.Claim, shape wire.Shape) bool {
	newer := now.Token > old.Token
	now.Token = old.Token
	return newer && now == old && shape == wire.Gang
}
