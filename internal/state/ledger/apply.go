package ledger

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"maddermill/wire"
)

// recordKinds are the kinds of records with a key each, and what takes over a change of one.
var recordKinds = []struct {
	prefix string
	apply  func(l *Ledger, name string, e Event) error
}{
	{GalleryPrefix, func(l *Ledger, name string, e Event) error { return l.applyGallery(wire.GalleryName(name), e) }},
	{workflowPrefix, func(l *Ledger, name string, e Event) error { return l.applyWorkflow(wire.WorkflowID(name), e) }},
	{chunkPrefix, (*Ledger).applyRange},
	{machinePrefix, (*Ledger).applyMachine},
	{teamPrefix, (*Ledger).applyTeam},
	{memberPrefix, (*Ledger).applyMember},
	{flavorPrefix, (*Ledger).applyFlavor},
}

// apply takes over one change.
func (l *Ledger) apply(e Event) error {
	if id, ok := strings.CutPrefix(e.Key, jobPrefix); ok {
		return l.applyJob(wire.JobID(id), e)
	}
	if mine, err := l.applyPast(e); mine {
		return err
	}
	if mine, err := l.applyPolicy(e); mine {
		return err
	}
	for _, kind := range recordKinds {
		if name, ok := strings.CutPrefix(e.Key, kind.prefix); ok {
			return kind.apply(l, name, e)
		}
	}
	return l.applySingle(e)
}

// applyRange takes over a range of a job's tasks. It may come before its job.
func (l *Ledger) applyRange(name string, e Event) error {
	id, n, ok := splitChunkKey(name)
	if !ok {
		return strconv.ErrSyntax
	}
	if j := l.jobs[id]; j != nil {
		return l.applyChunk(j, n, e)
	}
	if e.Value == nil {
		delete(l.orphans, e.Key)
	} else {
		l.orphans[e.Key] = e
	}
	return nil
}

// applyMachine takes over a machine's mark.
func (l *Ledger) applyMachine(name string, e Event) error {
	m := wire.MachineID(name)
	if e.Value == nil && e.Version >= l.markVer[m] {
		delete(l.marks, m)
		delete(l.markVer, m)
		delete(l.leaving, m)
		return nil
	}
	if e.Value == nil || e.Version <= l.markVer[m] {
		return nil
	}
	var r machineRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	l.marks[m], l.markVer[m] = r.Mark, e.Version
	l.touched[m] = struct{}{}
	if r.Mark == Terminated {
		delete(l.leaving, m)
	} else {
		l.leaving[m] = r.Why
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
	l.teamVer[team] = max(l.teamVer[team], e.Version)
	return nil
}

// applyMember takes over what a controller published.
func (l *Ledger) applyMember(name string, e Event) error {
	l.members[wire.MemberID(name)] = e.Value
	return nil
}

// applyFlavor takes over a machine type. Types never go.
func (l *Ledger) applyFlavor(_ string, e Event) error {
	if e.Value == nil {
		return nil
	}
	var f wire.MachineType
	if err := json.Unmarshal(e.Value, &f); err != nil {
		return err
	}
	l.flavors[f.Name] = f
	return nil
}

// applySingle takes over a record that there is only one of. Those of other kinds are passed over.
func (l *Ledger) applySingle(e Event) error {
	switch e.Key {
	case RegisterKey:
		if e.Version > l.registerVer && e.Value != nil {
			l.registerVer = e.Version
			return json.Unmarshal(e.Value, &l.register)
		}
	case ScaleOutKey:
		if e.Value != nil && e.Version > l.hiresVer {
			l.hires, l.hiresVer = ScaleOutRecord{}, e.Version
			return json.Unmarshal(e.Value, &l.hires)
		}
	case TokenKey:
		if e.Version > l.tokenVer && e.Value != nil {
			l.tokenVer = e.Version
			return json.Unmarshal(e.Value, &l.token)
		}
	case LeaderKey:
		if e.Value == nil {
			l.leader, l.leaderVer = LeaderRecord{}, 0
			return nil
		}
		l.leaderVer = e.Version
		return json.Unmarshal(e.Value, &l.leader)
	}
	return nil
}

func (l *Ledger) applyJob(id wire.JobID, e Event) error {
	j := l.jobs[id]
	if o, short := l.past.over[id]; short {
		if e.Version < o.version || e.Version == o.version && e.Value != nil {
			return nil
		}
		delete(l.past.over, id)
		if e.Value == nil {
			l.leaveGallery(id, o.gallery)
			l.left(id, o.final())
			return nil
		}
	}
	if e.Value == nil && j != nil && e.Version >= j.chunks[0].Version {
		l.dropJob(j)
		return nil
	}
	if e.Value == nil && j == nil {
		l.past.filter.Add(string(id)) // it went while the records were read
	}
	if e.Value == nil || j != nil && e.Version <= j.chunks[0].Version {
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
			ID:         id,
			Spec:       r.Spec,
			Accepted:   r.Accepted,
			chunks:     map[int]*TaskRange{},
			chunkTasks: cmp.Or(r.Range, l.limits.TasksPerRange()),
			Need:       NewResources(r.Spec.CPUs, r.Spec.GPUs, r.Spec.MemoryGB),
			Workflow:   r.Of,
		}
		l.inGalleryOf(j, r.Gallery)
		if w := l.workflows[r.Of]; w != nil && w.State == WorkflowCancelled {
			j.Cancelling = true
		}
		l.jobs[id] = j
	}
	if r.State == Cancelled && j.State != Cancelled {
		l.cancelled = max(l.cancelled, e.Version)
		l.cancels.add(cancelled{at: e.Version, job: id})
	}
	if j.Gallery != r.Gallery {
		l.inGalleryOf(j, r.Gallery)
	}
	j.State, j.Stop, j.kept, j.Ended = r.State, r.Stop, r.Kept, r.Ended
	l.countInGallery(j)
	l.replace(j, 0, &TaskRange{Version: e.Version, chunkRecord: r.chunkRecord})
	if j.State == Active {
		l.active[id] = j
	} else {
		delete(l.active, id)
	}
	if j.Spec.Tasks > j.chunkTasks && len(l.orphans) > 0 {
		for key, o := range l.orphans {
			if oid, n, ok := splitChunkKey(strings.TrimPrefix(key, chunkPrefix)); ok && oid == id {
				delete(l.orphans, key)
				if err := l.applyChunk(j, n, o); err != nil {
					return err
				}
			}
		}
	}
	l.shorten(j)
	return nil
}

func (l *Ledger) applyChunk(j *Job, n int, e Event) error {
	old := j.chunks[n]
	if e.Value == nil && old != nil && e.Version >= old.Version {
		l.replace(j, n, &TaskRange{})
		delete(j.chunks, n)
		return nil
	}
	if e.Value == nil || old != nil && e.Version <= old.Version {
		return nil
	}
	c := &TaskRange{Version: e.Version}
	if err := json.Unmarshal(e.Value, &c.chunkRecord); err != nil {
		return err
	}
	l.replace(j, n, c)
	return nil
}

// replace swaps a range and keeps every index true.
func (l *Ledger) replace(j *Job, n int, c *TaskRange) {
	team := j.Spec.Team
	if old := j.chunks[n]; old != nil {
		j.Done -= old.done
		j.Claimed -= old.held
		l.usage[team] = l.usage[team].Add(j.Need, -old.held)
		var last wire.MachineID
		for i := range old.Claims {
			if m := old.Claims[i].Machine; m != last {
				l.unhold(m, j, n)
				last = m
			}
		}
	}
	j.chunks[n] = c
	c.done, c.held = c.doneCount(), c.claimed()
	j.Done += c.done
	j.Claimed += c.held
	l.usage[team] = l.usage[team].Add(j.Need, c.held)
	for _, cl := range c.Claims {
		l.held[cl.Machine] = append(l.held[cl.Machine], HeldClaim{j, cl, n})
		l.touched[cl.Machine] = struct{}{}
	}
}

func (l *Ledger) unhold(m wire.MachineID, j *Job, n int) {
	l.touched[m] = struct{}{}
	kept := l.held[m][:0]
	for _, h := range l.held[m] {
		if h.Job != j || h.chunk != n {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		delete(l.held, m)
		return
	}
	l.held[m] = kept
}
