package ledger

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"maddermill/wire"
)

// recordAppliers are the kinds of records with a key each, and what takes over a change of one.
var recordAppliers = []struct {
	prefix string
	apply  func(l *Ledger, name string, e Event) error
}{
	{GalleryPrefix, func(l *Ledger, name string, e Event) error { return l.applyGallery(wire.GalleryName(name), e) }},
	{workflowPrefix, func(l *Ledger, name string, e Event) error { return l.applyWorkflow(wire.WorkflowID(name), e) }},
	{taskRangePrefix, (*Ledger).applyTaskRange},
	{machinePrefix, (*Ledger).applyMachine},
	{teamPrefix, (*Ledger).applyTeam},
	{memberPrefix, (*Ledger).applyMember},
	{machineTypePrefix, (*Ledger).applyMachineType},
}

// apply takes over one change.
func (l *Ledger) apply(e Event) error {
	if id, ok := strings.CutPrefix(e.Key, jobPrefix); ok {
		return l.applyJob(wire.JobID(id), e)
	}
	if handled, err := l.applyArchive(e); handled {
		return err
	}
	if handled, err := l.applyPolicy(e); handled {
		return err
	}
	for _, kind := range recordAppliers {
		if name, ok := strings.CutPrefix(e.Key, kind.prefix); ok {
			return kind.apply(l, name, e)
		}
	}
	return l.applySingle(e)
}

// applyTaskRange takes over a range of a job's tasks. It may come before its job.
func (l *Ledger) applyTaskRange(name string, e Event) error {
	id, n, ok := parseTaskRangeKey(name)
	if !ok {
		return strconv.ErrSyntax
	}
	if j := l.jobs[id]; j != nil {
		return l.updateRange(j, n, e)
	}
	if e.Value == nil {
		delete(l.orphanRanges, e.Key)
	} else {
		l.orphanRanges[e.Key] = e
	}
	return nil
}

// applyMachine takes over a machine's mark.
func (l *Ledger) applyMachine(name string, e Event) error {
	m := wire.MachineID(name)
	if e.Value == nil && e.Version >= l.phaseVersions[m] {
		delete(l.phases, m)
		delete(l.phaseVersions, m)
		delete(l.terminating, m)
		return nil
	}
	if e.Value == nil || e.Version <= l.phaseVersions[m] {
		return nil
	}
	var r machineRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	l.phases[m], l.phaseVersions[m] = r.Phase, e.Version
	l.changedMachines[m] = struct{}{}
	if r.Phase == Terminated {
		delete(l.terminating, m)
	} else {
		l.terminating[m] = r.Reason
	}
	return nil
}

// applyTeam takes over that a team with a limit had a start.
func (l *Ledger) applyTeam(name string, e Event) error {
	text, err := strconv.Unquote(name)
	if err != nil {
		return err
	}
	team := wire.Team(text)
	l.teamVersions[team] = max(l.teamVersions[team], e.Version)
	return nil
}

// applyMember takes over what a controller published.
func (l *Ledger) applyMember(name string, e Event) error {
	l.members[wire.MemberID(name)] = e.Value
	return nil
}

// applyMachineType takes over a machine type. Types never go.
func (l *Ledger) applyMachineType(_ string, e Event) error {
	if e.Value == nil {
		return nil
	}
	var f wire.MachineType
	if err := json.Unmarshal(e.Value, &f); err != nil {
		return err
	}
	l.machineTypes[f.Name] = f
	return nil
}

// applySingle takes over a record that there is only one of. Those of other kinds are passed over.
func (l *Ledger) applySingle(e Event) error {
	switch e.Key {
	case RegisterKey:
		if e.Version > l.registerVersion && e.Value != nil {
			l.registerVersion = e.Version
			return json.Unmarshal(e.Value, &l.register)
		}
	case ScaleOutKey:
		if e.Value != nil && e.Version > l.scaleOutVersion {
			l.scaleOut, l.scaleOutVersion = ScaleOutRecord{}, e.Version
			return json.Unmarshal(e.Value, &l.scaleOut)
		}
	case TokenKey:
		if e.Version > l.tokenVersion && e.Value != nil {
			l.tokenVersion = e.Version
			return json.Unmarshal(e.Value, &l.token)
		}
	case LeaderKey:
		if e.Value == nil {
			l.leader, l.leaderVersion = LeaderRecord{}, 0
			return nil
		}
		l.leaderVersion = e.Version
		return json.Unmarshal(e.Value, &l.leader)
	}
	return nil
}

func (l *Ledger) applyJob(id wire.JobID, e Event) error {
	j := l.jobs[id]
	if o, short := l.archived.finished[id]; short {
		if e.Version < o.version || e.Version == o.version && e.Value != nil {
			return nil
		}
		delete(l.archived.finished, id)
		if e.Value == nil {
			l.unlinkGallery(id, o.gallery)
			l.noteArchived(id, o.final())
			return nil
		}
	}
	if e.Value == nil && j != nil && e.Version >= j.ranges[0].Version {
		l.dropJob(j)
		return nil
	}
	if e.Value == nil && j == nil {
		l.archived.filter.Add(string(id)) // it went while the records were read
	}
	if e.Value == nil || j != nil && e.Version <= j.ranges[0].Version {
		return nil
	}
	var r jobRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if r.Spec == nil {
		return strconv.ErrSyntax
	}
	if j == nil {
		j = &Job{
			ID:            id,
			Spec:          r.Spec,
			Accepted:      r.Accepted,
			ranges:        map[int]*TaskRange{},
			tasksPerRange: cmp.Or(r.Range, l.limits.TasksPerRange()),
			Need:          NewResources(r.Spec.CPUs, r.Spec.GPUs, r.Spec.MemoryGB),
			Workflow:      r.Workflow,
		}
		l.linkGallery(j, r.Gallery)
		if w := l.workflows[r.Workflow]; w != nil && w.State == WorkflowCancelled {
			j.Cancelling = true
		}
		l.jobs[id] = j
	}
	if r.State == Cancelled && j.State != Cancelled {
		l.lastCancel = max(l.lastCancel, e.Version)
		l.recentCancels.add(cancellation{revision: e.Version, job: id})
	}
	if j.Gallery != r.Gallery {
		l.linkGallery(j, r.Gallery)
	}
	j.State, j.Stop, j.finalDone, j.Ended = r.State, r.Stop, r.FinalDone, r.Ended
	l.updateGalleryCount(j)
	l.replaceRange(j, 0, &TaskRange{Version: e.Version, taskRangeRecord: r.taskRangeRecord})
	if j.State == Active {
		l.active[id] = j
	} else {
		delete(l.active, id)
	}
	if j.Spec.Tasks > j.tasksPerRange && len(l.orphanRanges) > 0 {
		for key, o := range l.orphanRanges {
			if oid, n, ok := parseTaskRangeKey(strings.TrimPrefix(key, taskRangePrefix)); ok && oid == id {
				delete(l.orphanRanges, key)
				if err := l.updateRange(j, n, o); err != nil {
					return err
				}
			}
		}
	}
	l.compactFinished(j)
	return nil
}

func (l *Ledger) updateRange(j *Job, n int, e Event) error {
	old := j.ranges[n]
	if e.Value == nil && old != nil && e.Version >= old.Version {
		l.replaceRange(j, n, &TaskRange{})
		delete(j.ranges, n)
		return nil
	}
	if e.Value == nil || old != nil && e.Version <= old.Version {
		return nil
	}
	c := &TaskRange{Version: e.Version}
	if err := json.Unmarshal(e.Value, &c.taskRangeRecord); err != nil {
		return err
	}
	l.replaceRange(j, n, c)
	return nil
}

// replaceRange swaps a range and keeps every index true.
func (l *Ledger) replaceRange(j *Job, n int, c *TaskRange) {
	team := j.Spec.Team
	if old := j.ranges[n]; old != nil {
		j.Done -= old.doneTasks
		j.Claimed -= old.claimedTasks
		l.teamUsage[team] = l.teamUsage[team].Add(j.Need, -old.claimedTasks)
		var last wire.MachineID
		for i := range old.Claims {
			if m := old.Claims[i].Machine; m != last {
				l.removeClaims(m, j, n)
				last = m
			}
		}
	}
	j.ranges[n] = c
	c.doneTasks, c.claimedTasks = c.countDone(), c.countClaimed()
	j.Done += c.doneTasks
	j.Claimed += c.claimedTasks
	l.teamUsage[team] = l.teamUsage[team].Add(j.Need, c.claimedTasks)
	for _, cl := range c.Claims {
		l.claimsByMachine[cl.Machine] = append(l.claimsByMachine[cl.Machine], HeldClaim{j, cl, n})
		l.changedMachines[cl.Machine] = struct{}{}
	}
}

func (l *Ledger) removeClaims(m wire.MachineID, j *Job, n int) {
	l.changedMachines[m] = struct{}{}
	remaining := l.claimsByMachine[m][:0]
	for _, h := range l.claimsByMachine[m] {
		if h.Job != j || h.rangeIndex != n {
			remaining = append(remaining, h)
		}
	}
	if len(remaining) == 0 {
		delete(l.claimsByMachine, m)
		return
	}
	l.claimsByMachine[m] = remaining
}
