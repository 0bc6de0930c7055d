package ledger

import (
	"encoding/json"

	"maddermill/wire"
)

// Ledger is the mirror. It isn't safe for concurrent use.
type Ledger struct {
	limits   Limits
	revision wire.Revision
	jobs     map[wire.JobID]*Job
	active   map[wire.JobID]*Job

	galleries       map[wire.GalleryName]*Gallery
	register        registerRecord
	registerVersion wire.Revision
	orphanRanges    map[string]Event // ranges that arrived before their job
	claimsByMachine map[wire.MachineID][]HeldClaim
	teamUsage       map[wire.Team]Resources
	teamVersions    map[wire.Team]wire.Revision
	phases          map[wire.MachineID]MachinePhase
	terminating     map[wire.MachineID]string   // marked, and not yet known to be gone
	changedMachines map[wire.MachineID]struct{} // whose claims or marks changed since last asked
	phaseVersions   map[wire.MachineID]wire.Revision
	members         map[wire.MemberID]json.RawMessage
	machineTypes    map[wire.MachineTypeName]wire.MachineType

	workflows     map[wire.WorkflowID]*Workflow
	archived      archiveIndex
	policy        PolicyRecord
	policyVersion wire.Revision
	modules       map[wire.ModuleHash]ModuleRecord

	lastCancel    wire.Revision // of the newest cancellation, or later
	recentCancels cancellationLog

	scaleOut        ScaleOutRecord
	scaleOutVersion wire.Revision
	token           TokenRecord
	tokenVersion    wire.Revision
	leader          LeaderRecord
	leaderVersion   wire.Revision
}

// Event is one key as it now is.
type Event struct {
	Key     string
	Value   json.RawMessage // nil: deleted
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
		modules:         map[wire.ModuleHash]ModuleRecord{},
	}
}

// Revision is how far the ledger has caught up.
func (l *Ledger) Revision() wire.Revision { return l.revision }

// AdvanceRevision notes that all changes up to r have been applied.
func (l *Ledger) AdvanceRevision(r wire.Revision) { l.revision = max(l.revision, r) }

// Job returns a job, or nil. Of a job that is over, Over may be all that there is.
func (l *Ledger) Job(id wire.JobID) *Job { return l.jobs[id] }

// EachActive calls f for every job that is neither done nor cancelled.
func (l *Ledger) EachActive(f func(*Job)) {
	for _, j := range l.active {
		f(j)
	}
}

// Counts returns the number of jobs known and of those active.
func (l *Ledger) Counts() (known, active int) {
	return len(l.jobs) + len(l.archived.finished), len(l.active)
}

// ClaimsOn returns the claims on a machine. The slice must not be kept.
func (l *Ledger) ClaimsOn(m wire.MachineID) []HeldClaim { return l.claimsByMachine[m] }

// EachHolder calls f for every machine with claims.
func (l *Ledger) EachHolder(f func(wire.MachineID, []HeldClaim)) {
	for m, h := range l.claimsByMachine {
		f(m, h)
	}
}

// Used returns what a team's claims take.
func (l *Ledger) Used(t wire.Team) Resources { return l.teamUsage[t] }

// Member returns what a controller last published.
func (l *Ledger) Member(m wire.MemberID) json.RawMessage { return l.members[m] }

// LastCancel is at or above the revision of every cancellation that the ledger
// holds. A controller tells a user of one only when its ledger holds it.
func (l *Ledger) LastCancel() wire.Revision { return l.lastCancel }

// ScaleOutIntents returns the rentals that were asked for lately, and the version of their record.
func (l *Ledger) ScaleOutIntents() ([]ScaleOutIntent, wire.Revision) {
	return l.scaleOut.Recent, l.scaleOutVersion
}

// Token returns the token counter and its version.
func (l *Ledger) Token() (TokenRecord, wire.Revision) { return l.token, l.tokenVersion }

// Leader returns the fleet's leader and the record's version; 0: there is none.
func (l *Ledger) Leader() (LeaderRecord, wire.Revision) { return l.leader, l.leaderVersion }
