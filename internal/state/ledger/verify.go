package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// CheckArchived returns what is wrong with an archived job by itself, nil if nothing is.
func CheckArchived(id wire.JobID, value json.RawMessage) error {
	var r FinalRecord
	switch err := json.Unmarshal(value, &r); {
	case err != nil:
		return err
	case !id.Valid():
		return errors.New("is not an id of a job")
	case r.State != Done && r.State != Cancelled:
		return fmt.Errorf("state %q is not final", r.State)
	case r.Done < 0:
		return errors.New("has tasks done below 0")
	}
	return nil
}

// Problem is a violated invariant: the key of a record and what is wrong with it.
type Problem struct{ Key, What string }

// String returns the key and what is wrong.
func (p Problem) String() string { return p.Key + ": " + p.What }

// verifier collects the problems of a set of records.
type verifier struct {
	ledger   *Ledger // that all records were applied to
	records  map[string]Event
	problems []Problem
}

// Verify reads all records of one revision, by key, and returns every violated invariant in the order
// of the keys, with the ledger that the records were read into. The usage of teams is checked
// against the limits that are given.
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
			v.report(machineKey(m), "mark %q", phase)
		}
	}
	v.checkSeries()
	v.checkTeams()
	v.checkDependencies()
	slices.SortFunc(v.problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return v.ledger, v.problems
}

// report adds a problem of a record.
func (v *verifier) report(key, format string, a ...any) {
	v.problems = append(v.problems, Problem{key, fmt.Sprintf(format, a...)})
}

// applyAll reads the records in the order of their keys.
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

// checkFinished checks the jobs that the ledger keeps in the short form, of which only the end is left
// to be wrong.
func (v *verifier) checkFinished() {
	for id, finished := range v.ledger.archived.finished {
		var r jobRecord
		if finished.cancelled || json.Unmarshal(v.records[jobKey(id)].Value, &r) != nil {
			continue
		}
		if int(finished.done) != r.Spec.Tasks {
			v.report(jobKey(id), "is done with %d of %d tasks", finished.done, r.Spec.Tasks)
		}
	}
}

// checkSeries checks that the heads of series agree with their parts.
func (v *verifier) checkSeries() {
	index := &v.ledger.archived
	inParts := map[archive.Series]int{}
	for id := range index.partVersions {
		n, whole := index.terminated.Part(id)
		inParts[id.Series] += n
		if whole {
			v.report(seriesPartPrefix+id.String(), "is also in its series as a whole")
		}
		if index.headVersions[id.Series] == 0 {
			v.report(seriesPartPrefix+id.String(), "its series has no head")
		}
	}
	for s := range index.headVersions {
		h := index.terminated.Head(s)
		if n := inParts[s] + h.Whole.Len()*archive.Span; n != h.Gone {
			v.report(seriesHeadPrefix+s.String(), "%d machines, and its parts have %d", h.Gone, n)
		}
	}
}

// checkTeams checks that no team uses more than its limit.
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

// jobClaims is what the claims of all ranges of a job come to.
type jobClaims struct {
	claimed  []bool // by task
	attempts map[wire.Attempt]bool
	zones    map[wire.Zone]int // claimed tasks
}

// checkJob checks a job that the ledger keeps whole.
func (v *verifier) checkJob(key string, j *Job) {
	ranges := j.rangeCount()
	all := &jobClaims{make([]bool, j.Spec.Tasks), map[wire.Attempt]bool{}, map[wire.Zone]int{}}
	for n, r := range j.ranges {
		if n >= ranges {
			v.report(taskRangeKey(j.ID, n), "range %d of %d", n, ranges)
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

// checkJobState checks a job's own record against its ranges.
func (v *verifier) checkJobState(key string, j *Job) {
	switch {
	case j.State != Active && j.State != Done && j.State != Cancelled:
		v.report(key, "state %q", j.State)
	case j.State == Done && j.DoneTasks() != j.Spec.Tasks:
		v.report(key, "is done with %d of %d tasks", j.DoneTasks(), j.Spec.Tasks)
	case j.Stop > j.Attempt():
		v.report(key, "is to stop at attempt %d, and %d is the last", j.Stop, j.Attempt())
	}
}

// checkJobClaims checks the rules that hold for all claims of a job together.
func (v *verifier) checkJobClaims(key string, j *Job, all *jobClaims) {
	if j.Spec.Shape == wire.Gang && len(all.attempts) > 1 {
		v.report(key, "a gang with claims of %d attempts", len(all.attempts))
	}
	if j.Spec.OneZone && len(all.zones) > 1 {
		v.report(key, "must be in one zone and is in %d", len(all.zones))
	}
	for z, n := range all.zones {
		if j.Spec.Spread && n > (j.Spec.Tasks+1)/2 {
			v.report(key, "%d of %d tasks are in zone %s", n, j.Spec.Tasks, z)
		}
	}
}

// checkRange checks a range of a job's tasks and adds its claims to those of the job.
func (v *verifier) checkRange(j *Job, n int, r *TaskRange, all *jobClaims) {
	key := taskRangeKey(j.ID, n)
	bounds := j.rangeBounds(n)
	first, end := bounds.first, bounds.first+bounds.length
	for i := end - first; i < 8*len(r.Done); i++ {
		if r.isDone(i) {
			v.report(key, "task %d is done, and there is none", first+i)
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
			v.report(key, "claim on %s is of attempt %d, and %d is the last", c.Machine, c.Attempt, r.Attempt)
		}
		if c.Token > v.ledger.token.Last {
			v.report(key, "claim on %s is under token %d, and %d is the last", c.Machine, c.Token, v.ledger.token.Last)
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
