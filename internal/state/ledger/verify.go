package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// AllPrefix is the part of the key space in which all that maddermill keeps is, mirrored or
// not: records, archive and documents.
const AllPrefix = "mm"

// DocumentPrefix is where workflows' documents are kept.
const DocumentPrefix = "mmd1/"

// recordKindNames are the kinds of records by their prefixes.
var recordKindNames = []struct{ prefix, kind string }{
	{jobPrefix, "jobs"},
	{taskRangePrefix, "ranges of jobs"},
	{machinePrefix, "marks of machines"},
	{teamPrefix, "teams"},
	{
		memberPrefix,
		"members",
	},
	{machineTypePrefix, "machine types"},
	{workflowPrefix, "workflows"},
	{GalleryPrefix, "galleries"},
	{finalGalleryPrefix, "archived galleries"},
	{filterPrefix, "filter pages"},
	{
		seriesHeadPrefix,
		"series of gone machines",
	},
	{seriesPartPrefix, "parts of gone machines"},
	{finalPrefix, "archived jobs"},
	{finalWorkflowPrefix, "archived workflows"},
	{
		DocumentPrefix,
		"documents",
	},
	{LeaderKey, "leader"},
	{TokenKey, "token"},
	{ScaleOutKey, "rentals"},
	{FormatKey, "format"},
	{RegisterKey, "register of galleries"},
	{modulePrefix, "modules"},
	{codePrefix, "code of modules"},
	{PolicyKey, "policy"},
	{ImportKey, "import under way"},
}

// RecordKind tells in words what a key is of; "" if it is of nothing that is known.
func RecordKind(key string) string {
	for _, k := range recordKindNames {
		if strings.HasPrefix(key, k.prefix) {
			return k.kind
		}
	}
	return ""
}

// Transient reports whether a key only says who serves at the moment. It is no part of an
// export.
func Transient(key string) bool {
	return key == LeaderKey || key == ImportKey || strings.HasPrefix(key, memberPrefix)
}

// ArchivedJobID returns the job whose final state a key holds.
func ArchivedJobID(key string) (wire.JobID, bool) {
	id, ok := strings.CutPrefix(key, finalPrefix)
	return wire.JobID(id), ok
}

// CheckArchived reports what is wrong with an archived job by itself, "" if nothing is.
func CheckArchived(id wire.JobID, value json.RawMessage) string {
	var r FinalRecord
	switch err := json.Unmarshal(value, &r); {
	case err != nil:
		return err.Error()
	case !id.Valid():
		return "is not an id of a job"
	case r.State != Done && r.State != Cancelled:
		return fmt.Sprintf("state %q is not final", r.State)
	case r.Done < 0:
		return "has tasks done below 0"
	}
	return ""
}

// Problem is something in the records that must not be.
type Problem struct{ Key, What string }

func (p Problem) String() string { return p.Key + ": " + p.What }

// Verify reads mirrored records at one revision, by key, and lists all that is against their
// invariants, in order of the keys. The ledger that it was read from is returned. With
// limits, also what teams use is checked.
func Verify(records map[string]Event, limits Limits) (*Ledger, []Problem) {
	l := New(limits)
	var out []Problem
	complain := func(key, format string, a ...any) {
		out = append(out, Problem{key, fmt.Sprintf(format, a...)})
	}
	keys := slices.Sorted(maps.Keys(records))
	for _, key := range keys {
		if RecordKind(key) == "" {
			complain(key, "is no key of this version")
		} else if err := l.apply(records[key]); err != nil {
			complain(key, "%v", err)
		}
	}
	for key := range l.orphanRanges {
		complain(key, "its job is not on record")
	}
	for id, j := range l.jobs {
		l.verifyJob(jobKey(id), j, complain)
	}
	// Of those in the short form nothing but the end is left to be wrong.
	for id, o := range l.archived.finished {
		var r jobRecord
		if json.Unmarshal(records[jobKey(id)].Value, &r) == nil && !o.cancelled && int(o.done) != r.Spec.Tasks {
			complain(jobKey(id), "is done with %d of %d tasks", o.done, r.Spec.Tasks)
		}
	}
	for name, g := range l.galleries {
		if what := g.check(l.limits.ValueBytes); what != "" {
			complain(galleryKey(name), "%s", what)
		}
	}
	for m := range l.phases {
		if k := l.phases[m]; k != Terminating && k != Terminated {
			complain(machineKey(m), "mark %q", k)
		}
	}
	gone := map[archive.Series]int{}
	for id := range l.archived.partVersions {
		n, whole := l.archived.terminated.Part(id)
		gone[id.Series] += n
		if whole {
			complain(seriesPartPrefix+id.String(), "is also in its series as a whole")
		}
	}
	for s := range l.archived.headVersions {
		h := l.archived.terminated.Head(s)
		if n := gone[s] + h.Whole.Len()*archive.Span; n != h.Gone {
			complain(seriesHeadPrefix+s.String(), "%d machines, and its parts have %d", h.Gone, n)
		}
	}
	for id := range l.archived.partVersions {
		if l.archived.headVersions[id.Series] == 0 {
			complain(seriesPartPrefix+id.String(), "its series has no head")
		}
	}
	for team, limit := range limits.TeamMax {
		used := l.teamUsage[team]
		if limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU {
			complain(
				teamKey(team),
				"its tasks use %g cores and %g accelerators, over its limit",
				float64(used.CPU)/1e6,
				float64(used.GPU)/1e6,
			)
		}
	}
	slices.SortFunc(out, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return l, out
}

func (l *Ledger) verifyJob(key string, j *Job, complain func(key, format string, a ...any)) {
	ranges := (j.Spec.Tasks + j.tasksPerRange - 1) / j.tasksPerRange
	taken := make([]bool, j.Spec.Tasks)
	claims, attempts, zones := 0, map[wire.Attempt]bool{}, map[wire.Zone]int{}
	for n, c := range j.ranges {
		at := taskRangeKey(j.ID, n)
		if n >= ranges {
			complain(at, "range %d of %d", n, ranges)
			continue
		}
		first, end := n*j.tasksPerRange, min(j.Spec.Tasks, (n+1)*j.tasksPerRange)
		for i := end - first; i < 8*len(c.taskRangeRecord.Done); i++ {
			if c.isDone(i) {
				complain(at, "task %d is done, and there is none", first+i)
			}
		}
		for _, cl := range c.Claims {
			if int(cl.First) < first || cl.Count < 1 || int(cl.First)+cl.Count > end {
				complain(at, "claim of tasks %d to %d on %s is not of this range", cl.First, int(cl.First)+cl.Count-1, cl.Machine)
				continue
			}
			claims++
			attempts[cl.Attempt] = true
			zones[cl.Zone] += cl.Count
			if cl.Attempt > c.Attempt {
				complain(at, "claim on %s is of attempt %d, and %d is the last", cl.Machine, cl.Attempt, c.Attempt)
			}
			if cl.Token > l.token.Last {
				complain(at, "claim on %s is under token %d, and %d is the last", cl.Machine, cl.Token, l.token.Last)
			}
			for i := range cl.Count {
				t := int(cl.First) + i
				if taken[t] {
					complain(at, "task %d is claimed twice", t)
				}
				if c.isDone(t - first) {
					complain(at, "task %d is claimed and done", t)
				}
				taken[t] = true
			}
		}
	}
	switch {
	case j.State != Active && j.State != Done && j.State != Cancelled:
		complain(key, "state %q", j.State)
	case j.State == Done && j.DoneTasks() != j.Spec.Tasks:
		complain(key, "is done with %d of %d tasks", j.DoneTasks(), j.Spec.Tasks)
	case j.Stop > j.Attempt():
		complain(key, "is to stop at attempt %d, and %d is the last", j.Stop, j.Attempt())
	}
	if j.Spec.Shape == wire.Gang && len(attempts) > 1 {
		complain(key, "a gang with claims of %d attempts", len(attempts))
	}
	if j.Spec.OneZone && len(zones) > 1 {
		complain(key, "must be in one zone and is in %d", len(zones))
	}
	for z, n := range zones {
		if j.Spec.Spread && n > (j.Spec.Tasks+1)/2 {
			complain(key, "%d of %d tasks are in zone %s", n, j.Spec.Tasks, z)
		}
	}
	if w := l.workflows[j.Workflow]; w == nil && j.Workflow != "" && j.State == Active {
		complain(key, "is a step of %s, which is not on record", j.Workflow)
	}
}
