package quarantine

import (
	"math"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/wire"
)

// A task that fails has a cause: its machine, its job, the one task, its image, or the block
// that its machine is in; or none that comes again. A Judge finds it by likelihood over the
// record of who failed where. Each party is sound, or fails its tasks with some rate; a task is
// done only if none of its parties fails it (a noisy or). So what is done speaks for all its
// parties, by as much as their rate would be, and a failure speaks against each by as much as
// the others don't explain it. Parties are judged in turn, each by what is believed of the
// others, until that no longer moves (mean field; docs/quarantine.md weighs it with other ways).
//
// Slowness is another matter: a machine is slow if its tasks take longer than their mates and
// their class do elsewhere, by a sequential test of the ratio's logarithm.

// PartyKind is a kind of party.
type PartyKind uint8

// Kinds of parties.
const (
	OfMachine PartyKind = iota
	OfJob
	OfTask
	OfImage
	OfBlock
	partyKinds
)

func (k PartyKind) String() string {
	return [...]string{"machine", "job", "task", "image", "block"}[k]
}

// SuspectedCause is what may be at fault.
type SuspectedCause struct {
	Kind PartyKind
	Name string
	Task wire.TaskIndex // of a task
}

// Outcome is how a task ended that its machine or itself may be blamed for: done, or an error.
// Recalls, stops and lost leases are none.
type Outcome struct {
	Machine  wire.MachineID
	Job      wire.JobID
	Task     wire.TaskIndex
	Array    bool // its tasks fail each by itself
	Image    wire.Image
	Class    wire.Class
	Block    string // "" if no topology tells
	Failed   bool
	Ran      time.Duration // 0: unknown
	Expected time.Duration // as believed before; 0: unknown
	Far      bool          // told by another controller
	At       time.Time
}

// Priors are how sure a judgement is to be: what share of machines is faulty to begin with, and
// what share of those judged to be may be sound.
type Priors struct {
	Faulty float64
	Wrong  float64
}

// DefaultOdds: one machine in a hundred is faulty, and one judgement in 250 is wrong.
var DefaultPriors = Priors{Faulty: 1.0 / 100, Wrong: 1.0 / 250}

// rates are what a party that is at fault may fail its tasks with.
var rates = [...]float64{0.08, 0.2, 0.5, 0.9, 0.999}

// usual is how often a party of a kind that is at fault has each rate. A job with a mistake, or
// a task with a bad input, fails wherever it runs.
var usual = [partyKinds][len(rates)]float64{
	OfMachine: {0.25, 0.25, 0.2, 0.15, 0.15},
	OfJob:     {0.0005, 0.0005, 0.001, 0.008, 0.99},
	OfTask:    {0.0005, 0.0005, 0.001, 0.008, 0.99},
	OfImage:   {0.05, 0.05, 0.2, 0.3, 0.4},
	OfBlock:   {0.25, 0.25, 0.2, 0.15, 0.15},
}

// Priors of other parties to be at fault.
var priors = [partyKinds]float64{
	OfMachine: 0,
	OfJob:     1.0 / 50,
	OfTask:    1.0 / 200,
	OfImage:   1.0 / 200,
	OfBlock:   1.0 / 1000,
}

// orders are those in which parties are judged. What is judged first takes what others might
// explain as well; of two explanations that agree with themselves the likelier counts.
var orders = [...][partyKinds]PartyKind{
	{OfBlock, OfImage, OfJob, OfTask, OfMachine},
	{OfBlock, OfJob, OfTask, OfMachine, OfImage},
}

// Bounds of a judge's memory.
const (
	mostFailures  = 1024
	failuresFor   = 6 * time.Hour
	ofOne         = 4    // failures that are kept of one job: more tell nothing new
	mostRounds    = 8    // until beliefs no longer move
	leastMoved    = 1e-3 // of a rate
	settleEvery   = 10 * time.Second
	mostNear      = 24              // failures of one party that lead to others to be judged
	confirmFor    = 5 * time.Minute // a judgement must stand while tasks are tried elsewhere
	slowBy        = 1.5             // times a mate's or the class's time
	mostResidual  = 1.0             // of the logarithm: one odd task proves nothing
	fewMates      = 3
	usualSpread   = 0.25 // of the logarithm, to begin with
	fewToBeSlow   = 5
	oldWeight     = 0.995 // of a class's sums, with each task
	leastAccident = 1e-5
	mostAccident  = 1e-2
)

// Judge holds outcomes and judges by them. It does no I/O, is told the time, and has no lock.
type Judge struct {
	odds     Priors
	done     map[SuspectedCause]float64 // tasks done
	all      float64
	failures []*failure // in the order in which they came
	ofJob    map[wire.JobID]int
	belief   map[SuspectedCause]*belief
	accident float64             // rate of failures that are nobody's
	share    [partyKinds]float64 // of jobs and tasks that are at fault, of those seen lately
	jobs     float64             // seen
	queue    []*belief           // to be judged anew
	now      time.Time           // of the last outcome
	settled  time.Time
	passes   int
	speed    map[wire.MachineID]*pace
	classes  map[wire.Class]*spread
	mates    map[wire.JobID]*spread
}

// failure is one that is remembered, with what each party had done before.
type failure struct {
	Outcome
	of     [partyKinds]*belief
	n      int // parties: a gang has no task of its own, and not all have a block
	before [partyKinds]float64
	pass   int // in which it was last counted
}

// belief is what is believed of a party.
type belief struct {
	SuspectedCause
	rate   float64 // expected
	sure   float64 // that it is at fault
	fail   []*failure
	queued bool
	pass   int       // in which it was last judged
	since  time.Time // when it was first sure enough, and has been since; zero: it isn't
}

// NewJudge returns one that has seen nothing.
func NewJudge(o Priors) *Judge {
	return &Judge{
		odds:     o,
		done:     map[SuspectedCause]float64{},
		ofJob:    map[wire.JobID]int{},
		belief:   map[SuspectedCause]*belief{},
		accident: 2e-3,
		speed:    map[wire.MachineID]*pace{},
		classes:  map[wire.Class]*spread{},
		mates:    map[wire.JobID]*spread{},
	}
}

func parties(o *Outcome) (of [partyKinds]SuspectedCause, n int) {
	of[0], of[1], n = SuspectedCause{
		Kind: OfMachine,
		Name: string(o.Machine),
	}, SuspectedCause{
		Kind: OfJob,
		Name: string(o.Job),
	}, 2
	if o.Array {
		of[n], n = SuspectedCause{Kind: OfTask, Name: string(o.Job), Task: o.Task}, n+1
	}
	if o.Far {
		// What its image and block did elsewhere is not told, and failures alone would make any
		// of them guilty.
		return of, n
	}
	if o.Image != "" {
		of[n], n = SuspectedCause{Kind: OfImage, Name: string(o.Image)}, n+1
	}
	if o.Block != "" {
		of[n], n = SuspectedCause{Kind: OfBlock, Name: o.Block}, n+1
	}
	return of, n
}

// Observe takes in an outcome.
func (j *Judge) Observe(o *Outcome) {
	if o.At.After(j.now) {
		j.now = o.At
	}
	of, n := parties(o)
	if _, known := j.done[of[1]]; !known {
		j.done[of[1]] = 0
		j.jobs++
	}
	if !o.Failed {
		j.all++
		for i := range n {
			b := j.belief[of[i]]
			if of[i].Kind == OfTask && b == nil {
				continue // it ends with its first
			}
			j.done[of[i]]++
			if b != nil && (b.Kind == OfTask || b.Kind == OfJob) {
				j.ask(b) // it can run, so its failures are somebody else's
			}
		}
		j.seeSpeed(o)
		return
	}
	if j.ofJob[o.Job] >= ofOne {
		j.drop(slices.IndexFunc(j.failures, func(x *failure) bool { return x.Job == o.Job }))
	} else if len(j.failures) == mostFailures {
		j.drop(0)
	}
	f := &failure{Outcome: *o, n: n}
	for i, p := range of[:n] {
		b := j.belief[p]
		if b == nil {
			b = &belief{SuspectedCause: p, rate: j.prior(p.Kind)}
			j.belief[p] = b
		}
		f.of[i], f.before[i] = b, j.done[p]
		b.fail = append(b.fail, f)
		j.ask(b)
	}
	j.failures = append(j.failures, f)
	j.ofJob[o.Job]++
}

// ask has a party judged anew.
func (j *Judge) ask(b *belief) {
	if !b.queued {
		b.queued = true
		j.queue = append(j.queue, b)
	}
}

// drop forgets a failure.
func (j *Judge) drop(at int) {
	f := j.failures[at]
	j.failures = slices.Delete(j.failures, at, at+1)
	if j.ofJob[f.Job]--; j.ofJob[f.Job] == 0 {
		delete(j.ofJob, f.Job)
	}
	for _, b := range f.of[:f.n] {
		b.fail = slices.DeleteFunc(b.fail, func(x *failure) bool { return x == f })
		if len(b.fail) == 0 {
			delete(j.belief, b.SuspectedCause)
		} else {
			j.ask(b)
		}
	}
}

// limit is the logarithm of the odds that make a judgement.
func (j *Judge) limit() float64 { return math.Log(1/j.odds.Wrong - 1) }

// Faulty tells how sure it is that a machine fails tasks that others would not, and with what
// rate; yes: sure enough.
func (j *Judge) Faulty(m wire.MachineID) (yes bool, sure, rate float64) {
	j.settle()
	b := j.belief[SuspectedCause{Kind: OfMachine, Name: string(m)}]
	if b == nil {
		return false, j.odds.Faulty, 0
	}
	return !b.since.IsZero() && j.now.Sub(b.since) >= confirmFor && b.sure > 1-j.odds.Wrong, b.sure, b.rate
}

// Forget drops what is known of a machine that is gone; what it said of others stays.
func (j *Judge) Forget(m wire.MachineID) {
	delete(j.done, SuspectedCause{Kind: OfMachine, Name: string(m)})
	delete(j.speed, m)
}

// Prune drops what is too old to judge by, and all of jobs that are over.
func (j *Judge) Prune(now time.Time, active func(wire.JobID) bool) {
	for len(j.failures) > 0 && now.Sub(j.failures[0].At) > failuresFor {
		j.drop(0)
	}
	for p := range j.done {
		if (p.Kind == OfJob || p.Kind == OfTask) && j.ofJob[wire.JobID(p.Name)] == 0 && !active(wire.JobID(p.Name)) {
			delete(j.done, p)
		}
	}
	for id := range j.mates {
		if !active(id) {
			delete(j.mates, id)
		}
	}
}

// Bounds of what is told to other controllers.
const (
	failuresTold = 100
	toldFor      = 3 * time.Minute
)

// FailuresToShare lists the latest failures on machines that report here, for other controllers.
func (j *Judge) FailuresToShare(now time.Time) (out []peer.Failure) {
	for i := len(j.failures) - 1; i >= 0 && len(out) < failuresTold; i-- {
		f := j.failures[i]
		if now.Sub(f.At) > toldFor {
			break
		}
		if !f.Far {
			out = append(
				out,
				peer.Failure{Job: f.Job, Task: f.Task, Array: f.Array, Machine: f.Machine, Image: f.Image, Block: f.Block,
					DoneBefore: f.before[0], At: f.At.UnixMilli()},
			)
		}
	}
	return out
}

// MergeFailures takes in failures that another controller tells of: they speak for and against jobs and
// tasks, whose success is in the records. Machines are judged by who holds them, images and
// blocks by each controller from what it sees.
func (j *Judge) MergeFailures(list []peer.Failure) {
	for i := len(list) - 1; i >= 0; i-- {
		x := &list[i]
		o := &Outcome{
			Machine: x.Machine,
			Job:     x.Job,
			Task:    x.Task,
			Array:   x.Array,
			Image:   x.Image,
			Block:   x.Block,
			Failed:  true,
			Far:     true,
			At:      time.UnixMilli(x.At),
		}
		if slices.ContainsFunc(j.failures, func(f *failure) bool {
			return f.Machine == o.Machine && f.Job == o.Job && f.Task == o.Task && f.At.Equal(o.At)
		}) {
			continue
		}
		p := SuspectedCause{Kind: OfMachine, Name: string(x.Machine)}
		j.done[p] = max(j.done[p], x.DoneBefore)
		j.Observe(o)
	}
}

// Progress takes in how many tasks of a job are done, on whichever machine, and which: what can
// run is not at fault.
func (j *Judge) Progress(job wire.JobID, done int, isDone func(wire.TaskIndex) bool) {
	if j.ofJob[job] == 0 {
		return
	}
	p := SuspectedCause{Kind: OfJob, Name: string(job)}
	if float64(done) > j.done[p] {
		j.done[p] = float64(done)
		j.ask(j.belief[p])
	}
	for _, f := range j.belief[p].fail {
		if t := (SuspectedCause{Kind: OfTask, Name: string(job), Task: f.Task}); f.Array && j.done[t] == 0 &&
			isDone(f.Task) {
			j.done[t] = 1
			j.ask(j.belief[t])
		}
	}
}
