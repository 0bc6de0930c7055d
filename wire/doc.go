// Package wire defines the messages and basic types that maddermill exchanges with users, workers, the cloud
// and the state service. Clients may import it too. Workers and controllers exchange Heartbeat and
// HeartbeatResponse (heartbeats.go), users and controllers JobSpec, WorkflowSpec and their statuses (jobs.go,
// workflows.go). MachineList and ScaleOutRequest belong to the cloud's API (cloud.go), Txn, ItemPage and
// Events to the state service's (kvstore.go). TopologyView and Judgement are reports by controllers.
//
// All messages are JSON. Their keys are defined by the protocol and never change (TestSerializedFormsStay
// compares bytes). The Go names use common terms instead; the glossary below maps keys to names. The package
// has no scheduling logic and does no I/O. Only DecodeJobSpec and DecodeWorkflowSpec validate values.
// Durations are in seconds (Seconds), sizes in GB, times in milliseconds since 1970 (UnixMillis).
//
// # Glossary
//
// Each line has a key of the protocol, the Go name and the meaning.
//
// Heartbeats:
//
//	millstone       Heartbeat.Machine           machine, rented from the cloud
//	endpoint        Heartbeat.Addr              address and port
//	build           Heartbeat.Type              machine type
//	yard            Heartbeat.Zone              availability zone
//	loaners         Heartbeat.Spot              spot (preemptible) instance
//	shift           Heartbeat.Epoch             agent epoch, between two lease expiries
//	tally           Heartbeat.Sequence          sequence number within the epoch
//	warrant         Heartbeat.FencingToken      fencing token that the worker has accepted
//	recall_s        Heartbeat.ReclaimNotice     spot reclaim notice, seconds left
//	pieces          Heartbeat.Tasks             tasks on the machine
//	piece           TaskStatus.Task             task
//	try             TaskStatus.Attempt          attempt
//	status          TaskStatus.State            task state
//	cause           TaskStatus.Cause            exit cause
//	saved           TaskStatus.Saved            a checkpoint was saved
//	warrant         HeartbeatResponse.FencingToken  fencing token of the commands
//	orders          HeartbeatResponse.Commands  commands
//	verb            Command.Op                  operation
//	leeway_s        Command.Grace               grace period of a stop
//	foreman         Redirect.ReportTo           controller to report to
//
// Jobs and workflows:
//
//	workclass       JobSpec.Class               job class, as service-level objectives name it
//	owner           JobSpec.Team                team, which has a quota
//	shape           JobSpec.Shape               array, gang or service ("daemon")
//	urgency         JobSpec.Priority            priority
//	pieces          JobSpec.Tasks               number of tasks
//	cores           JobSpec.CPUs                CPUs of a task
//	accelerators    JobSpec.GPUs                GPUs of a task
//	ram_gb          JobSpec.MemoryGB            memory of a task
//	bundle          JobSpec.Image               image
//	pull_gb         JobSpec.ImageGB             size of the image
//	builds          JobSpec.Types               machine types allowed; null: all
//	yard            JobSpec.Zone                zone required; null: any
//	together        JobSpec.OneZone             affinity: all tasks in one zone
//	scatter         JobSpec.Spread              anti-affinity: tasks on different machines
//	loaners         JobSpec.Spot                spot instances allowed
//	expect_s        JobSpec.Estimate            estimated run time
//	snapshot_s      JobSpec.Checkpoint          checkpoint interval
//	stash_s         JobSpec.Save                time to save a checkpoint
//	due_s           JobSpec.Deadline            deadline, counted from the submission
//	awaits          JobSpec.Dependencies        jobs that must be done before a task starts
//	bundle          WorkflowSpec.Bundle         documents of the workflow, by path
//	window          WorkflowSpec.Window         steps submitted at once
//	why             WorkflowStatus.Reason       reason of a failure
//	steps_unknown   WorkflowStatus.StepsUnknown why the steps are left out
//	outputs_unknown WorkflowStatus.OutputsUnknown why the outputs are left out
//	over            StepStatus.Finished         finished runs of a step
//	why             StepStatus.Reason           what the step waits for
//
// The cloud:
//
//	builds          MachineTypeList.Types       machine types
//	sku             MachineType.Name            machine type
//	local_gb        MachineType.CacheGB         image cache
//	fetch_gb_per_s  MachineType.FetchGBps       image fetch rate
//	market_price    MachineType.SpotPrice       spot price
//	startup_s       MachineType.Boot            boot time
//	yards           MachineType.Zones           availability zones
//	hire            ScaleOutRequest.Request     ID of a scale-out request
//	build           ScaleOutRequest.Type        machine type
//	number          ScaleOutRequest.Count       machines to rent
//	millstones      MachineIDList.Names         machines
//	millstones      MachineList.Machines        machines
//	has_next        MachineList.More            there are more pages
//
// The state service, a consensus-backed key-value store:
//
//	k               Item.Key                    key
//	data            Item.Value                  value
//	stamp           Item.Version                version: revision of the last change
//	tenure          Item.Lease                  lease
//	pairs           ItemPage.Items              items
//	has_next        ItemPage.More               there are more pages
//	epoch           ItemPage.Revision           revision of the store (not an agent epoch)
//	stamp           Condition.Version           version to compare
//	if              Txn.If                      compare part of a compare-and-swap
//	then            Txn.Then                    swap part
//	set             Change.Put                  key to put
//	failed          TxnResult.Failed            keys whose comparison failed
//	life_ms         LeaseRequest.TTLMillis      time to live
//	tenure          LeaseGrant.Lease            lease
//	log             Events.Events               watch events
//
// Judgements of machines:
//
//	before          Judgement.PriorFaulty       prior probability of a fault
//	sure            Judgement.ProbabilityFaulty posterior probability of a fault
//	rate            Judgement.FailureRate       estimated failure rate of the machine's tasks
//	times           Judgement.Slowdown          slowdown factor
//	accident        Judgement.BackgroundRate    rate of failures without a cause
//	done            Judgement.Completed         tasks completed
//	before          JudgedParty.Prior           prior probability of a fault
//	sure            JudgedParty.Probability     posterior probability of a fault
//	done            JudgedParty.Completed       tasks completed
//
// Values:
//
//	"daemon"        Service                     service: runs until cancelled
//	"aborted"       Cancelled                   cancelled
//	"ended"         TaskExited                  exited
//	"halted"        CausePreempted              stopped by a command
//	"mates_gone"    CauseGangPeerLost           a peer in the gang was lost
//	"incomplete"    CauseGangIncomplete         timed out waiting for its gang
//	"full"          CauseInsufficientRoom       refused: insufficient resources
//	"busy"          CauseBusy                   refused: the machine is busy
//	"no_such"       CauseNotFound               refused: unknown job
//	"run"           OpStart                     start
//	"clear"         OpForget                    discard an exit that is recorded
//	"starting"      MachineBooting              booting
package wire
