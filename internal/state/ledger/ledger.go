package ledger

import (
	"encoding/json"

	"maddermill/wire"
)

// Ledger is the in-memory copy of the replicated records, with the indices built from them. It is not safe
// for concurrent use.
type Ledger struct {
	limits   Limits
	revision wire.Revision // up to which all changes are applied

	jobs            map[wire.JobID]*Job // on record, except those in archived.finished
	active          map[wire.JobID]*Job // the subset of jobs that are neither done nor cancelled
	orphanRanges    map[string]Event    // task ranges that arrived before their job, by key
	claimsByMachine map[wire.MachineID][]HeldClaim
	archived        archiveIndex
	dependencies    dependencyIndex

	teamUsage    map[wire.Team]Resources     // the sum of the claims
	teamVersions map[wire.Team]wire.Revision // of the record that starts of a team with a quota rewrite

	phases          map[wire.MachineID]MachinePhase // of machines with a record of their own
	phaseVersions   map[wire.MachineID]wire.Revision
	terminating     map[wire.MachineID]string   // not yet terminated, with the reason
	changedMachines map[wire.MachineID]struct{} // with changed claims or phase; see DrainChangedMachines
	machineTypes    map[wire.MachineTypeName]wire.MachineType

	galleries       map[wire.GalleryName]*Gallery // version 0: only jobs of it are on record
	register        registerRecord
	registerVersion wire.Revision

	workflows     map[wire.WorkflowID]*Workflow
	policy        PolicyRecord
	policyVersion wire.Revision
	modules       map[wire.ModuleHash]ModuleRecord

	lastCancel    wire.Revision // at or above the newest cancellation
	recentCancels cancellationLog

	members         map[wire.MemberID]json.RawMessage
	scaleOut        ScaleOutRecord
	scaleOutVersion wire.Revision
	token           TokenRecord
	tokenVersion    wire.Revision
	leader          LeaderRecord
	leaderVersion   wire.Revision
}

// Event is the state of one key after a change.
type Event struct {
	Key     string
	Value   json.RawMessage // nil if the key was deleted
	Version wire.Revision
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{
		limits:          limits,
		jobs:            map[wire.JobID]*Job{},
		active:          map[wire.JobID]*Job{},
		galleries:       map[wire.GalleryName]*Gallery{},
		orphanRanges:    map[string]Event{},
		claimsByMachine: map[wire.MachineID][]HeldClaim{},
		teamUsage:       map[wire.Team]Resources{},
		teamVersions:    map[wire.Team]wire.Revision{},
		phases:          map[wire.MachineID]MachinePhase{},
		terminating:     map[wire.MachineID]string{},
		changedMachines: map[wire.MachineID]struct{}{},
		phaseVersions:   map[wire.MachineID]wire.Revision{},
		members:         map[wire.MemberID]json.RawMessage{},
		machineTypes:    map[wire.MachineTypeName]wire.MachineType{},
		workflows:       map[wire.WorkflowID]*Workflow{},
		archived:        newArchiveIndex(),
		dependencies:    newDependencyIndex(),
		modules:         map[wire.ModuleHash]ModuleRecord{},
	}
}

// Revision returns the revision up to which all changes are applied.
func (l *Ledger) Revision() wire.Revision { return l.revision }

// AdvanceRevision records that all changes up to r have been applied.
func (l *Ledger) AdvanceRevision(r wire.Revision) { l.revision = max(l.revision, r) }

// Job returns a job, or nil if it is not on record. For a finished job it may be nil, too; see FinalRecordOf.
func (l *Ledger) Job(id wire.JobID) *Job { return l.jobs[id] }

// EachActive calls f for every job that is neither done nor cancelled.
func (l *Ledger) EachActive(f func(*Job)) {
	for _, j := range l.active {
		f(j)
	}
}

// Counts returns the number of jobs on record and how many of them are active.
func (l *Ledger) Counts() (known, active int) {
	return len(l.jobs) + len(l.archived.finished), len(l.active)
}

// ClaimsOn returns the claims on a machine. The slice is valid until the next change of the ledger.
func (l *Ledger) ClaimsOn(m wire.MachineID) []HeldClaim { return l.claimsByMachine[m] }

// EachClaimedMachine calls f for every machine that has claims.
func (l *Ledger) EachClaimedMachine(f func(wire.MachineID, []HeldClaim)) {
	for m, h := range l.claimsByMachine {
		f(m, h)
	}
}

// TeamUsage returns the resources that a team's claims take in total.
func (l *Ledger) TeamUsage(t wire.Team) Resources { return l.teamUsage[t] }

// Member returns the last status that a controller published, or nil if there is none.
func (l *Ledger) Member(m wire.MemberID) json.RawMessage { return l.members[m] }

// LastCancel returns a revision at or above that of every cancellation in the ledger. A controller
// confirms a cancellation to a user only once its own ledger contains it (DESIGN, "Safety", 1).
func (l *Ledger) LastCancel() wire.Revision { return l.lastCancel }

// ScaleOutIntents returns the recent scale-out requests and the version of their record.
func (l *Ledger) ScaleOutIntents() ([]ScaleOutIntent, wire.Revision) {
	return l.scaleOut.Recent, l.scaleOutVersion
}

// Token returns the record of fencing tokens and its version.
func (l *Ledger) Token() (TokenRecord, wire.Revision) { return l.token, l.tokenVersion }

// Leader returns the leader's record and its version. The version is 0 if there is no leader.
func (l *Ledger) Leader() (LeaderRecord, wire.Revision) { return l.leader, l.leaderVersion }
