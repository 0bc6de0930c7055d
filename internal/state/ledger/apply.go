package ledger

import (
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/wire"
)

// recordAppliers maps the key prefix of each kind of record, except jobs, to the method that applies a change
// of such a record. name is the rest of the key after the prefix.
var recordAppliers = []struct {
	prefix string
	apply  func(l *Ledger, name string, e Event) error
}{
	{taskRangePrefix, (*Ledger).applyTaskRange},
	{partPrefix, (*Ledger).applyPart},
	{GalleryPrefix, func(l *Ledger, name string, e Event) error { return l.applyGallery(wire.GalleryName(name), e) }},
	{workflowPrefix, func(l *Ledger, name string, e Event) error { return l.applyWorkflow(wire.WorkflowID(name), e) }},
	{machinePrefix, (*Ledger).applyMachine},
	{teamPrefix, (*Ledger).applyTeam},
	{memberPrefix, (*Ledger).applyMember},
	{machineTypePrefix, (*Ledger).applyMachineType},
	{seriesHeadPrefix, (*Ledger).applySeriesHead},
	{seriesPartPrefix, (*Ledger).applySeriesPart},
	{modulePrefix, (*Ledger).applyModule},
}

// Apply applies one change. Applying a change again has no effect. Changes of one key arrive in order unless
// all records are loaded again; changes older than the current version are ignored. A record that can't be
// decoded is logged, and the previous value is kept.
func (l *Ledger) Apply(e Event) {
	if err := l.apply(e); err != nil {
		slog.Error("invalid record", "key", e.Key, "err", err)
	}
}

// apply is like Apply but returns the error instead of logging it.
func (l *Ledger) apply(e Event) error {
	if id, ok := strings.CutPrefix(e.Key, jobPrefix); ok {
		return l.applyJob(wire.JobID(id), e)
	}
	for _, kind := range recordAppliers {
		if name, ok := strings.CutPrefix(e.Key, kind.prefix); ok {
			return kind.apply(l, name, e)
		}
	}
	return l.applySingleton(e)
}

// applyMachine applies a change to a machine's phase. The record is deleted when CompactTerminated adds the
// machine to its series.
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
	if err := exactjson.Unmarshal(e.Value, &r); err != nil {
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

// applyTeam stores the version of a team's record, which every claim of a team with a quota rewrites.
func (l *Ledger) applyTeam(name string, e Event) error {
	text, err := strconv.Unquote(name)
	if err != nil {
		return err
	}
	team := wire.Team(text)
	l.teamVersions[team] = max(l.teamVersions[team], e.Version)
	return nil
}

// applyMember stores the status that a controller published.
func (l *Ledger) applyMember(name string, e Event) error {
	l.members[wire.MemberID(name)] = e.Value
	return nil
}

// applyMachineType stores a machine type. Types are never deleted.
func (l *Ledger) applyMachineType(_ string, e Event) error {
	if e.Value == nil {
		return nil
	}
	var f wire.MachineType
	if err := exactjson.Unmarshal(e.Value, &f); err != nil {
		return err
	}
	l.machineTypes[f.Name] = f
	return nil
}

// applySeriesHead applies a change to the head of a series of terminated machines.
func (l *Ledger) applySeriesHead(name string, e Event) error {
	index := &l.archived
	series, err := archive.ParseSeries(name)
	if err != nil || e.Version < index.headVersions[series] || e.Value == nil {
		return err
	}
	var head archive.SeriesHead
	if err := exactjson.Unmarshal(e.Value, &head); err != nil {
		return err
	}
	index.terminated.SetHead(series, head)
	index.headVersions[series] = e.Version
	return nil
}

// applySeriesPart applies a change to a part of a series of terminated machines. A part is deleted when all of
// its machines are terminated, because the series head then records the part as complete.
func (l *Ledger) applySeriesPart(name string, e Event) error {
	index := &l.archived
	id, err := archive.ParsePartID(name)
	if err != nil || e.Version < index.partVersions[id] {
		return err
	}
	var numbers archive.MachineNumbers
	if e.Value != nil {
		if err := exactjson.Unmarshal(e.Value, &numbers); err != nil {
			return err
		}
	}
	index.terminated.SetPart(id, numbers)
	index.partVersions[id] = e.Version
	if e.Value == nil {
		delete(index.partVersions, id)
	}
	return nil
}

// applyModule applies a change to a module's record.
func (l *Ledger) applyModule(name string, e Event) error {
	hash := wire.ModuleHash(name)
	if e.Value == nil {
		delete(l.modules, hash)
		return nil
	}
	var r ModuleRecord
	if err := exactjson.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	l.modules[hash] = r
	return nil
}

// applySingleton applies a change to a record of which there is only one. Unknown keys are ignored.
func (l *Ledger) applySingleton(e Event) error {
	switch e.Key {
	case LeaderKey:
		if e.Value == nil {
			l.leader, l.leaderVersion = LeaderRecord{}, 0
			return nil
		}
		l.leaderVersion = e.Version
		return exactjson.Unmarshal(e.Value, &l.leader)
	case ImportKey:
		l.archived.importing = e.Value != nil
	case PolicyKey:
		if e.Version > l.policyVersion {
			l.policy, l.policyVersion = PolicyRecord{}, e.Version
			return unmarshalIfPresent(e.Value, &l.policy)
		}
	case ScaleOutKey:
		if e.Value != nil && e.Version > l.scaleOutVersion {
			l.scaleOut, l.scaleOutVersion = ScaleOutRecord{}, e.Version
			return exactjson.Unmarshal(e.Value, &l.scaleOut)
		}
	case FormatKey:
		err := applyNewer(e, &l.archived.formatVersion, &l.archived.format)
		l.divideOversizedJobs()
		return err
	case RegisterKey:
		return applyNewer(e, &l.registerVersion, &l.register)
	case TokenKey:
		return applyNewer(e, &l.tokenVersion, &l.token)
	}
	return nil
}

// applyNewer replaces a record with a newer version. Deletions are ignored: these records are never deleted.
func applyNewer[T any](e Event, version *wire.Revision, record *T) error {
	if e.Value == nil || e.Version <= *version {
		return nil
	}
	*version = e.Version
	*record = *new(T) // clears fields that the new value omits, as records of older software versions may
	return exactjson.Unmarshal(e.Value, record)
}

// unmarshalIfPresent decodes a record; it does nothing if the record was deleted.
func unmarshalIfPresent(value json.RawMessage, record any) error {
	if value == nil {
		return nil
	}
	return exactjson.Unmarshal(value, record)
}
