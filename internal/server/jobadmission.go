package server

import (
	"errors"
	"time"

	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/policy"
	"maddermill/wire"
)

// Reasons why a job can never run, joined to ErrUnschedulable. The messages are returned to users.
var (
	errNotAdmitted   = errors.New("not admitted by the policy")
	errUnknownTeam   = errors.New("unknown team")
	errOverLimit     = errors.New("over the team's limit")
	errNoMachineType = errors.New("no allowed machine type fits a task")
)

// Indexes into policy.Admission.Names of a job's class and image. The team has index 0, the zero value.
const (
	admissionClassName = 1
	admissionImageName = 2
)

// Admit returns nil if a new job can run and is admitted now. The error is ErrUnschedulable joined with the
// reason if the job can never run, kvstore.ErrUnreachable if that cannot be decided yet. The caller must hold
// the cache lock.
func (s *JobServer) Admit(spec *wire.JobSpec, now time.Time) error {
	if err := s.checkFeasible(spec); err != nil {
		return err
	}
	return s.admitByPolicy(spec, now)
}

// admitByPolicy asks the active policy, if there is one, whether to admit a job. The caller must hold the cache
// lock.
func (s *JobServer) admitByPolicy(spec *wire.JobSpec, now time.Time) error {
	if !s.Policies.Admits(s.records()) {
		return nil
	}
	need := ledger.NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB)
	admission := policy.Admission{
		Now:   now.UnixMilli(),
		Names: []string{string(spec.Team), string(spec.Class), string(spec.Image)},
		Job:   placement.PolicyJob(spec, need, wire.UnixMillis(now.UnixMilli())),
	}
	admission.Job.Class, admission.Job.Image = admissionClassName, admissionImageName
	teamSum := ledger.Resources{}.Add(need, spec.Tasks) // resources of the team's jobs, including this one
	s.records().EachActive(func(job *ledger.Job) {
		pending := uint32(job.Pending())
		admission.AllJobs++
		admission.AllTasks += pending
		if job.Spec.Team == spec.Team {
			admission.TeamJobs++
			admission.TeamTasks += pending
			teamSum = teamSum.Add(job.Need, job.Claimed+int(pending))
		}
	})
	if team := s.set.FindTeam(spec.Team); team != nil {
		admission.Guaranteed = !scheduler.OverGuarantee(team, teamSum)
	}
	switch s.Policies.Admit(s.records(), &admission, now) {
	case policy.PutOff:
		return kvstore.ErrUnreachable
	case policy.Refuse:
		return errors.Join(ErrUnschedulable, errNotAdmitted)
	}
	return nil
}

// checkFeasible returns nil if a job can run on some machine type within its team's limit. The errors are those
// of Admit. The caller must hold the cache lock.
func (s *JobServer) checkFeasible(spec *wire.JobSpec) error {
	team := s.set.FindTeam(spec.Team)
	if team == nil {
		return errors.Join(ErrUnschedulable, errUnknownTeam)
	}
	if len(s.records().MachineTypes()) == 0 {
		return kvstore.ErrUnreachable // the machine types are not known yet
	}
	need := ledger.NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB)
	together := spec.Tasks // number of tasks that must run at the same time
	if spec.Shape == wire.Array {
		together = 1
	}
	sum := ledger.Resources{}.Add(need, together)
	limit := ledger.NewResources(team.CPUsMax, team.GPUsMax, 0)
	if team.CPUsMax > 0 && sum.CPU > limit.CPU || team.GPUsMax > 0 && sum.GPU > limit.GPU {
		return errors.Join(ErrUnschedulable, errOverLimit)
	}
	for _, machineType := range s.records().MachineTypes() {
		if !ledger.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB).Fits(need) {
			continue
		}
		for _, zone := range machineType.Zones {
			if ledger.PlacementAllowed(spec, machineType.Name, zone, false) {
				return nil
			}
		}
	}
	return errors.Join(ErrUnschedulable, errNoMachineType)
}
