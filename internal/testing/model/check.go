package model

import (
	"fmt"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// transition is a change from one state of the records to another, with the violations found in it.
type transition struct {
	before, after State
	// terminated reports whether the task of a claim is known to have ended.
	terminated func(wire.TaskID, ledger.Claim) bool
	violations []string
}

// Check returns the rules that the transition between two states violates. limits are the GPUs that
// each team may use. ended reports whether the task of a claim is known to have ended; it is called
// only for claims that were released.
func Check(before, after State, limits map[wire.Team]float64, ended func(wire.TaskID, ledger.Claim) bool) []string {
	t := &transition{before: before, after: after, terminated: ended}
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
		if now.State == ledger.Done && now.DoneCount != now.Spec.Tasks {
			t.violate("not_done: %s is done with %d of %d tasks", id, now.DoneCount, now.Spec.Tasks)
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

// checkJob checks that a recorded job is still recorded or archived, and that it lost no progress or claim.
func (t *transition) checkJob(id wire.JobID, old Job) {
	now, recorded := t.after.Jobs[id]
	final, archived := t.after.Archived[id]
	switch {
	case recorded && archived:
		t.violate("recorded and archived: %s", id)
	case archived:
		t.checkArchived(id, old, final)
		return
	case !recorded:
		t.violate("forgotten: %s is neither recorded nor archived", id)
		return
	}
	if old.State != ledger.Active && now.State != old.State {
		t.violate("went_back: %s from %s to %q", id, old.State, now.State)
	}
	if now.DoneCount < old.DoneCount {
		t.violate("went_back: %s has %d tasks done, and had %d", id, now.DoneCount, old.DoneCount)
	}
	for index := range old.Done {
		if !now.Done[index] && now.State == ledger.Active {
			t.violate("went_back: %s/%d is no longer done", id, index)
		}
	}
	for index, claim := range old.Claims {
		if now.Claims[index] != claim && !tokenRenewed(claim, now.Claims[index], now.Spec.Shape) &&
			!t.terminated(wire.TaskID{Job: id, Index: index}, claim) {
			t.violate("ran_twice: the claim of %s/%d on %s was released while its task may still run",
				id, index, claim.Machine)
		}
	}
}

// checkArchived checks that a job was archived in its final state and without claims.
func (t *transition) checkArchived(id wire.JobID, old Job, final ledger.FinalRecord) {
	if old.State == ledger.Active || final.State != old.State || final.Done != old.DoneCount {
		t.violate("went_back: %s with %d tasks done is %q, archived %q with %d",
			id, old.DoneCount, old.State, final.State, final.Done)
	}
	if len(old.Claims) > 0 {
		t.violate("ran_twice: %s is archived with claims", id)
	}
}

// checkArchive checks that archived jobs stay archived and unchanged, that none of them is recorded
// again, and that the ledger's filter of archived jobs contains all of them.
func (t *transition) checkArchive() {
	for id, old := range t.before.Archived {
		if now, ok := t.after.Archived[id]; !ok || now != old {
			t.violate("forgotten: archived %s", id)
		}
		if _, ok := t.after.Jobs[id]; ok {
			t.violate("accepted anew: %s", id)
		}
	}
	for id := range t.after.Archived {
		if !t.after.InFilter[id] {
			t.violate("forgotten: the filter lacks %s", id)
		}
	}
}

// checkMachinePhases checks that no machine returns to an earlier phase.
func (t *transition) checkMachinePhases() {
	for id, old := range t.before.MachinePhases {
		if now := t.after.MachinePhases[id]; now != old && (old == ledger.Terminated || now == "") {
			t.violate("machine phase went back: %s from %s to %q", id, old, now)
		}
	}
}

// checkStarts checks the new claims of a job and, if there are any, the placement of the whole job.
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
		t.violate("wrong_place: %s is not in one zone", id)
	}
	for zone, n := range zones {
		if now.Spec.Spread && n > (now.Spec.Tasks+1)/2 {
			t.violate("wrong_place: %d tasks of %s in %s", n, id, zone)
		}
	}
	if now.Spec.Shape == wire.Gang && len(now.Claims)+len(now.Done) != now.Spec.Tasks {
		t.violate("incomplete gang: %s starts", id)
	}
}

// checkStart checks that a started task was pending and that its machine is allowed to run it.
func (t *transition) checkStart(id wire.JobID, index wire.TaskIndex, claim ledger.Claim, old, now Job) {
	if now.Done[index] {
		t.violate("completed task starts: %s/%d", id, index)
	}
	if old.State != ledger.Active {
		t.violate("ran_cancelled: %s/%d starts", id, index)
	}
	if t.before.MachinePhases[claim.Machine] != "" {
		t.violate("a start on a leaving machine: %s/%d on %s", id, index, claim.Machine)
	}
	if now.Spec.Zone != nil && *now.Spec.Zone != claim.Zone {
		t.violate("wrong_place: %s/%d in %s", id, index, claim.Zone)
	}
}

// tokenRenewed reports whether the claim of a gang's task changed only by getting a newer fencing token.
func tokenRenewed(old, now ledger.Claim, shape wire.Shape) bool {
	newer := now.Token > old.Token
	now.Token = old.Token
	return newer && now == old && shape == wire.Gang
}
