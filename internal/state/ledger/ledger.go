package ledger

import (
	"encoding/json"
	"log/slog"
	"math/bits"
	"slices"
	"strings"

	"maddermill/wire"
)

// Limits are what the state service takes, and the rules of teams.
type Limits struct {
	ValueBytes                       int
	TxnOps                           int
	TxnBytes                         int
	TeamMax                          map[wire.Team]Resources // capped teams only; 0 in an amount: none
	ControllerIndex, ControllerCount int                     // this controller's among all; 0 of 0: it is alone
}

// caps reports whether a team's limit is on something that a task needs.
func (limits *Limits) caps(t wire.Team, need Resources) bool {
	limit := limits.TeamMax[t]
	return limit.CPU > 0 && need.CPU > 0 || limit.GPU > 0 && need.GPU > 0
}

// maxClaimBytes is what a claim takes of a value at the most, names included.
const maxClaimBytes = 96

// maxSpecBytes is what a job's description takes of its record at the most.
const maxSpecBytes = 1200

// TasksPerRange is how many tasks share a record: in the worst case each has a
// claim of its own, and all must fit beside the job's description.
func (limits *Limits) TasksPerRange() int {
	return min(400, max(4, (limits.ValueBytes-maxSpecBytes)/maxClaimBytes))
}

// maxLongRange is how many tasks of a large array share a record, at the most.
const maxLongRange = 256

// minStartsPerRange is how many starts a record of a large array must at least have room
// for, counted in machines that are filled with its tasks.
const minStartsPerRange = 12

// longRangeTasks is how many tasks of a job share a record; 0: so few that each may have a
// claim of its own. Tasks of a huge array end many at a time and its machines take many
// at a time, so longer ranges save changes; but then only so many starts have room in a
// record, which a claim that finds none respects. A gang's tasks must all find room.
func (l *Ledger) longRangeTasks(s *wire.JobSpec) int {
	if s.Shape != wire.Array {
		return 0
	}
	// Where a type of machine takes but a few of them, a record would be full of starts with most
	// of its tasks yet to begin, and the machines of that type idle.
	need, each := NewResources(s.CPUs, s.GPUs, s.MemoryGB), 0
	for _, f := range l.machineTypes {
		k := NewResources(f.CPUs, f.GPUs, f.MemoryGB).Times(need, s.Tasks)
		if k > 0 && (each == 0 || k < each) && (s.Types == nil || slices.Contains(s.Types, f.Name)) {
			each = k
		}
	}
	n := min(maxLongRange, minStartsPerRange*each)
	if usual := l.limits.TasksPerRange(); s.Tasks <= 2*usual || n < 2*usual ||
		l.limits.ValueBytes < maxSpecBytes+n/6+minStartsPerRange*maxClaimBytes+n*maxPairBytes/2 {
		return 0
	}
	return n
}

// TaskRange is a range of a job's tasks as last seen.
type TaskRange struct {
	Version wire.Revision
	taskRangeRecord
	doneTasks, claimedTasks int // tasks
}

func (r *taskRangeRecord) isDone(i int) bool {
	return i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0
}

func (r *taskRangeRecord) countDone() int {
	n := 0
	for _, b := range r.Done {
		n += bits.OnesCount8(b)
	}
	return n
}

func (r *taskRangeRecord) countClaimed() int {
	n := 0
	for i := range r.Claims {
		n += r.Claims[i].Count
	}
	return n
}

// Job is a job as last seen.
type Job struct {
	ID         wire.JobID
	Spec       *wire.JobSpec
	Need       Resources // of one task
	Accepted   wire.UnixMillis
	State      JobState
	Stop       wire.Attempt
	Done       int              // tasks done
	Claimed    int              // tasks claimed
	Gallery    wire.GalleryName // that it is tied to, "" if none
	Ended      wire.UnixMillis  // when it was done, if it is tied
	Workflow   wire.WorkflowID  // the workflow that it is a step of, "" if none
	Cancelling bool             // that workflow is cancelled, so the job will be; or the job is, by another's ledger
	ranges     map[int]*TaskRange

	tasksPerRange int
	finalDone     int // tasks done, as noted when the job is over and its ranges go
}

// Pending is the number of tasks that are neither done nor claimed.
func (j *Job) Pending() int {
	if j.State != Active || j.Cancelling {
		return 0
	}
	return j.Spec.Tasks - j.Done - j.Claimed
}

// GangSize is how many of the job's tasks must start together.
func (j *Job) GangSize() int {
	if j.Spec.Shape != wire.Gang {
		return 1
	}
	return j.Spec.Tasks - j.Done
}

// RunsWholeMachines reports whether every task is claimed or done: of a gang, that its attempt has all its tasks.
func (j *Job) RunsWholeMachines() bool { return j.Done+j.Claimed == j.Spec.Tasks }

// TaskDone reports whether a task is on record as done.
func (j *Job) TaskDone(t wire.TaskIndex) bool {
	c := j.ranges[int(t)/j.tasksPerRange]
	return c != nil && c.isDone(int(t)%j.tasksPerRange)
}

// Attempt is the last attempt given out to the job's first tasks; for a gang,
// to all of them.
func (j *Job) Attempt() wire.Attempt { return j.ranges[0].Attempt }

// Claims calls f for every claim until it returns false.
func (j *Job) Claims(f func(Claim) bool) {
	for _, c := range j.ranges {
		for _, cl := range c.Claims {
			if !f(cl) {
				return
			}
		}
	}
}

// Status is what users are told.
func (j *Job) Status() wire.Status {
	switch {
	case j.State == Cancelled:
		return wire.Cancelled
	case j.State == Done:
		return wire.Done
	case j.Claimed > 0:
		return wire.Running
	}
	return wire.Queued
}

// HeldClaim is a claim seen from its machine.
type HeldClaim struct {
	Job *Job
	Claim
	rangeIndex int
}

// Range tells which range of the job's tasks the claim is in.
func (h *HeldClaim) Range() int { return h.rangeIndex }

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

// MachinePhase returns a machine's mark, "" if it has none.
func (l *Ledger) MachinePhase(m wire.MachineID) MachinePhase {
	if k := l.phases[m]; k != "" || !l.archived.terminated.Has(string(m)) {
		return k
	}
	return Terminated
}

// MachinePhases calls f for every machine that has a mark of its own.
func (l *Ledger) MachinePhases(f func(wire.MachineID, MachinePhase)) {
	for m, k := range l.phases {
		f(m, k)
	}
}

// DecodeMachinePhase reads a machine's mark from its record as the state service has it, with the reason
// that was given; false for records of something else.
func DecodeMachinePhase(it wire.Item) (m wire.MachineID, phase MachinePhase, reason string, ok bool) {
	rest, ok := strings.CutPrefix(it.Key, machinePrefix)
	var r machineRecord
	if !ok || json.Unmarshal(it.Value, &r) != nil {
		return "", "", "", false
	}
	return wire.MachineID(rest), r.Phase, r.Reason, true
}

// MarksPrefix is what the keys of machines' marks begin with.
const MarksPrefix = machinePrefix

// TerminatingMachines calls f for every machine on its way out that isn't known to be gone.
// Marks of machines long gone are only walked to be swept.
func (l *Ledger) TerminatingMachines(f func(wire.MachineID)) {
	for m := range l.terminating {
		f(m)
	}
}

// DrainChangedMachines calls f for every machine whose claims or mark have changed since the
// last call.
func (l *Ledger) DrainChangedMachines(f func(wire.MachineID)) {
	for m := range l.changedMachines {
		f(m)
	}
	clear(l.changedMachines)
}

// Member returns what a controller last published.
func (l *Ledger) Member(m wire.MemberID) json.RawMessage { return l.members[m] }

// BestEffort reports whether a job only takes what others leave, also of the budget of changes.
func (j *Job) BestEffort() bool { return j.Spec.Priority == wire.BestEffort }

// Total is what a machine of a type has; nothing if the type is not known.
func (l *Ledger) Total(t wire.MachineTypeName) Resources {
	f := l.machineTypes[t]
	return NewResources(f.CPUs, f.GPUs, f.MemoryGB)
}

// Free is what claims leave of a machine in its session.
func (l *Ledger) Free(s ClaimTarget) Resources {
	free := l.Total(s.Type)
	for _, h := range l.ClaimsOn(s.Machine) {
		if h.Session >= s.Session {
			free = free.Add(h.Job.Need, -h.Count)
		}
	}
	return free
}

// MachineType returns a machine type as the leader has published it.
func (l *Ledger) MachineType(t wire.MachineTypeName) (wire.MachineType, bool) {
	f, ok := l.machineTypes[t]
	return f, ok
}

// MachineTypes returns all machine types. The map must not be changed.
func (l *Ledger) MachineTypes() map[wire.MachineTypeName]wire.MachineType { return l.machineTypes }

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

// Apply takes over one change. Changes may arrive twice, never out of order for
// one key except through a second reading; older ones are passed over.
func (l *Ledger) Apply(e Event) {
	if err := l.apply(e); err != nil {
		slog.Error("record not understood", "key", e.Key, "err", err)
	}
}
