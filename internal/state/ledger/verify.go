package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// CheckArchived returns an error if the record of an archived job is invalid by itself.
func CheckArchived(id wire.JobID, value json.RawMessage) error {
	var r FinalRecord
	switch err := exactjson.Unmarshal(value, &r); {
	case err != nil:
		return err
	case !id.Valid():
		return errors.New("is not a valid job ID")
	case r.State != Done && r.State != Cancelled:
		return fmt.Errorf("state %q is not final", r.State)
	case r.Done < 0:
		return errors.New("has a negative number of done tasks")
	}
	return nil
}

// Problem is a violated invariant: the key of the record and a description.
type Problem struct{ Key, What string }

// String returns the key and the description.
func (p Problem) String() string { return p.Key + ": " + p.What }

// verifier collects the problems of a set of records.
type verifier struct {
	ledger   *Ledger // to which all records were applied
	records  map[string]Event
	problems []Problem
}

// Verify checks all records of one revision, given by key. It returns the ledger that the records were applied
// to and every violated invariant, ordered by key. The usage of teams is checked against the given limits.
func Verify(records map[string]Event, limits Limits) (*Ledger, []Problem) {
	v := &verifier{ledger: New(limits), records: records}
	v.applyAll()
	for id, j := range v.ledger.jobs {
		v.checkJob(jobKey(id), j)
	}
	v.checkFinished()
	for name, g := range v.ledger.galleries {
		if err := g.check(limits.ValueBytes); err != nil {
			v.report(galleryKey(name), "%v", err)
		}
	}
	for m, phase := range v.ledger.phases {
		if phase != Terminating && phase != Terminated {
			v.report(machineKey(m), "unknown machine phase %q", phase)
		}
	}
	v.checkSeries()
	v.checkTeams()
	v.checkDependencies()
	slices.SortFunc(v.problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return v.ledger, v.problems
}

// report adds a problem with a record.
func (v *verifier) report(key, format string, a ...any) {
	v.problems = append(v.problems, Problem{key, fmt.Sprintf(format, a...)})
}

// applyAll applies the records to the ledger in the order of their keys.
func (v *verifier) applyAll() {
	for _, key := range slices.Sorted(maps.Keys(v.records)) {
		if RecordKind(key) == "" {
			v.report(key, "is no key of this version")
		} else if err := v.ledger.apply(v.records[key]); err != nil {
			v.report(key, "%v", err)
		}
	}
	for key := range v.ledger.orphanRanges {
		v.report(key, "its job is not on record")
	}
}

// checkFinished checks the jobs that the ledger keeps in the compact form, for which only the number of done
// tasks is left to check.
func (v *verifier) checkFinished() {
	for id, finished := range v.ledger.archived.finished {
		var r jobRecord
		if finished.cancelled || exactjson.Unmarshal(v.records[jobKey(id)].Value, &r) != nil {
			continue
		}
		if int(finished.done) != r.Spec.Tasks {
			v.report(jobKey(id), "is done with %d of %d tasks", finished.done, r.Spec.Tasks)
		}
	}
}

// checkSeries checks that the heads of the series of terminated machines agree with their parts.
func (v *verifier) checkSeries() {
	index := &v.ledger.archived
	inParts := map[archive.Series]int{}
	for id := range index.partVersions {
		n, whole := index.terminated.Part(id)
		inParts[id.Series] += n
		if whole {
			v.report(seriesPartPrefix+id.String(), "its series already counts it as entirely terminated")
		}
		if index.headVersions[id.Series] == 0 {
			v.report(seriesPartPrefix+id.String(), "its series has no head")
		}
	}
	for s := range index.headVersions {
		h := index.terminated.Head(s)
		if n := inParts[s] + h.CompleteParts.Len()*archive.PartSize; n != h.MachineCount {
			v.report(seriesHeadPrefix+s.String(), "counts %d terminated machines, but its parts have %d", h.MachineCount, n)
		}
	}
}

// checkTeams checks that no team uses more than its quota.
func (v *verifier) checkTeams() {
	for team, limit := range v.ledger.limits.TeamMax {
		used := v.ledger.teamUsage[team]
		if limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU {
			v.report(
				teamKey(team),
				"its tasks use %g cores and %g accelerators, over its limit",
				float64(used.CPU)/1e6,
				float64(used.GPU)/1e6,
			)
		}
	}
}

// jobClaims summarizes the claims of all ranges of a job.
type jobClaims struct {
	claimed  []bool // by task
	attempts map[wire.Attempt]bool
	zones    map[wire.Zone]int // number of claimed tasks
}

// checkJob checks a job that the ledger does not keep in the compact form.
func (v *verifier) checkJob(key string, j *Job) {
	ranges := j.rangeCount()
	all := &jobClaims{make([]bool, j.Spec.Tasks), map[wire.Attempt]bool{}, map[wire.Zone]int{}}
	for n, r := range j.ranges {
		if n >= ranges {
			v.report(taskRangeKey(j.ID, n), "range %d is out of bounds: the job has %d ranges", n, ranges)
			continue
		}
		v.checkRange(j, n, r, all)
	}
	v.checkJobState(key, j)
	v.checkJobClaims(key, j, all)
	if w := v.ledger.workflows[j.Workflow]; w == nil && j.Workflow != "" && j.State == Active {
		v.report(key, "is a step of %s, which is not on record", j.Workflow)
	}
}

// checkJobState checks that a job's own record agrees with its ranges.
func (v *verifier) checkJobState(key string, j *Job) {
	switch {
	case j.State != Active && j.State != Done && j.State != Cancelled:
		v.report(key, "unknown state %q", j.State)
	case j.State == Done && j.DoneTasks() != j.Spec.Tasks:
		v.report(key, "is done with %d of %d tasks", j.DoneTasks(), j.Spec.Tasks)
	case j.Stop > j.Attempt():
		v.report(key, "attempts up to %d are preempted, but the last one is %d", j.Stop, j.Attempt())
	}
}

// checkJobClaims checks the invariants for all claims of a job together.
func (v *verifier) checkJobClaims(key string, j *Job, all *jobClaims) {
	if j.Spec.Shape == wire.Gang && len(all.attempts) > 1 {
		v.report(key, "gang has claims of %d attempts", len(all.attempts))
	}
	if j.Spec.OneZone && len(all.zones) > 1 {
		v.report(key, "must run in one zone but has claims in %d", len(all.zones))
	}
	for z, n := range all.zones {
		if j.Spec.Spread && n > (j.Spec.Tasks+1)/2 {
			v.report(key, "has %d of its %d tasks in zone %s, which is more than half", n, j.Spec.Tasks, z)
		}
	}
}

// checkRange checks a range of a job's tasks and adds its claims to all.
func (v *verifier) checkRange(j *Job, n int, r *TaskRange, all *jobClaims) {
	key := taskRangeKey(j.ID, n)
	bounds := j.rangeBounds(n)
	first, end := bounds.first, bounds.first+bounds.length
	for i := end - first; i < 8*len(r.Done); i++ {
		if r.isDone(i) {
			v.report(key, "task %d is done but does not exist", first+i)
		}
	}
	for _, c := range r.Claims {
		if int(c.First) < first || c.Count < 1 || int(c.First)+c.Count > end {
			v.report(
				key, "claim of tasks %d to %d on %s is not of this range", c.First, int(c.First)+c.Count-1, c.Machine,
			)
			continue
		}
		all.attempts[c.Attempt] = true
		all.zones[c.Zone] += c.Count
		if c.Attempt > r.Attempt {
			v.report(key, "claim on %s is of attempt %d, but the last one is %d", c.Machine, c.Attempt, r.Attempt)
		}
		if c.Token > v.ledger.token.Last {
			v.report(key, "claim on %s is under token %d, but the last one is %d", c.Machine, c.Token, v.ledger.token.Last)
		}
		for i := range c.Count {
			task := int(c.First) + i
			if all.claimed[task] {
				v.report(key, "task %d is claimed twice", task)
			}
			if r.isDone(task - first) {
				v.report(key, "task %d is claimed and done", task)
			}
			all.claimed[task] = true
		}
	}
}
