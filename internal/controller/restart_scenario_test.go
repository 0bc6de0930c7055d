package controller

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/testing/emulator"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// maxWaitAfterFaults is the longest time that a user may be without an answer about a job after all
// faults are over.
const maxWaitAfterFaults = 75 * time.Second

// pollInterval is the time between two polls of a user.
const pollInterval = 5 * time.Second

// restartScenario is a cluster whose controllers crash and restart repeatedly, whose users poll through
// a load balancer, and whose messages are duplicated.
type restartScenario struct {
	*testCluster
	balancer    *emulator.Balancer
	ctx         context.Context // of the run; nil before the start
	downtime    time.Duration   // from a crash to the restart
	maxCrashes  int
	minInterval time.Duration // between two crashes of any controllers
	keepAlive   bool          // users reuse their connections

	usersMu     sync.Mutex // guards the fields below, and ctx
	crashes     int
	lastCrash   time.Time
	polls       int
	failedPolls int
	users       map[wire.JobID]*jobUser
	faultsEnded time.Time // when all faults were over; zero until then
}

// jobUser is what the user of a job has observed.
type jobUser struct {
	lastAnswer             time.Time
	longestWait            time.Duration // between two answers
	longestWaitAfterFaults time.Duration // between two answers, after all faults were over
	status                 wire.Status
}

// newRestartScenario returns a scenario with three controllers.
func newRestartScenario(t *testing.T, seed uint64, downtime time.Duration) *restartScenario {
	t.Helper()
	return newRestartScenarioOf(t, seed, 3, downtime)
}

// newRestartScenarioOf returns a scenario with the given number of controllers.
func newRestartScenarioOf(t *testing.T, seed uint64, size int, downtime time.Duration) *restartScenario {
	t.Helper()
	r := &restartScenario{
		testCluster: newTestClusterOf(t, seed, size, nil),
		downtime:    downtime,
		maxCrashes:  12,
		minInterval: 400 * time.Millisecond,
		users:       map[wire.JobID]*jobUser{},
	}
	r.noRandomFaults, r.duplicateMessages, r.archiving = true, true, true
	for _, link := range r.links {
		link.Copies = true
	}
	r.balancer = emulator.NewBalancer(size, seed, func(i int) bool {
		c := r.controller(i)
		return c != nil && c.Healthy()
	})
	r.onStart = func(ctx context.Context) {
		r.usersMu.Lock()
		r.ctx = ctx // enables crashes
		r.usersMu.Unlock()
		r.group.Go(func() { r.balancer.Run(ctx) })
	}
	return r
}

// crashAndRestart crashes a controller and restarts it after the downtime, unless that exceeds the limit on
// the number or the rate of crashes. It returns immediately.
func (r *restartScenario) crashAndRestart(i int) {
	r.usersMu.Lock()
	now := time.Now()
	if r.crashes >= r.maxCrashes || !r.faultsEnded.IsZero() || now.Sub(r.lastCrash) < r.minInterval || r.ctx == nil {
		r.usersMu.Unlock()
		return
	}
	r.crashes++
	r.lastCrash = now
	r.usersMu.Unlock()
	// In a new goroutine: the caller may run within the controller that crashes.
	r.group.Go(func() {
		r.crash(i)
		wait.For(r.ctx, r.downtime)
		if r.ctx.Err() == nil && r.controller(i) == nil {
			r.startController(r.ctx, i)
		}
	})
}

// pollJob acts as a user who submits a job and polls it through the load balancer until it is done.
func (r *restartScenario) pollJob(ctx context.Context, spec *wire.JobSpec) {
	r.world.Upload(spec)
	user := &jobUser{}
	submitted := false
	connection := -1
	for ctx.Err() == nil {
		at := r.connect(connection)
		connection = at
		status, err := r.queryOnce(ctx, at, spec, submitted)
		if errors.Is(err, server.ErrNoSuchJob) && submitted {
			r.t.Errorf("seed %d: status of accepted job %s: got %v", r.seed, spec.ID, err)
		}
		r.recordPoll(spec.ID, user, submitted, status, err)
		submitted = submitted || err == nil
		if err == nil {
			r.world.ObserveAnswer(spec.ID, status.Status)
			if status.Status == wire.Done {
				return
			}
		}
		if submitted {
			wait.For(ctx, pollInterval)
		} else {
			wait.For(ctx, time.Second)
		}
	}
}

// connect returns the controller that a user is connected to for the next request, or -1 if there is none.
// With keepAlive, a connection is reused while its controller is up and the balancer doesn't reset it.
func (r *restartScenario) connect(connection int) int {
	if connection < 0 || !r.keepAlive || r.controller(connection) == nil || r.balancer.Resets(connection) {
		return r.balancer.Connect(func(i int) bool { return r.controller(i) != nil })
	}
	return connection
}

// queryOnce submits a job at a controller, or queries its status if it was submitted, with the timeout of
// a user.
func (r *restartScenario) queryOnce(
	ctx context.Context,
	at int,
	spec *wire.JobSpec,
	submitted bool,
) (status wire.JobStatus, err error) {
	c := r.controllerAt(at)
	if c == nil {
		return status, errors.New("no controller to connect to")
	}
	timeout := 2 * time.Second
	if !submitted {
		timeout = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if submitted {
		status, err = c.Jobs.Status(ctx, spec.ID)
	} else {
		status, _, err = c.Jobs.Submit(ctx, spec)
	}
	if r.controller(at) != c {
		err = errors.New("controller crashed during the request")
	}
	return status, err
}

// recordPoll records the outcome of a poll or a submission.
func (r *restartScenario) recordPoll(
	id wire.JobID,
	user *jobUser,
	submitted bool,
	status wire.JobStatus,
	err error,
) {
	now := time.Now()
	r.usersMu.Lock()
	defer r.usersMu.Unlock()
	if submitted {
		r.polls++
		if err != nil {
			r.failedPolls++
		}
	}
	if err != nil {
		return
	}
	if !submitted {
		user.lastAnswer = now
		r.users[id] = user
	}
	r.recordAnswer(user, now)
	user.status = status.Status
}

// controllerAt returns controller i, or nil if it is down or i is -1.
func (r *restartScenario) controllerAt(i int) *Controller {
	if i < 0 {
		return nil
	}
	return r.controller(i)
}

// recordAnswer updates the longest waits of a user who received an answer now, or whose wait ends with the
// run. usersMu must be held.
func (r *restartScenario) recordAnswer(user *jobUser, now time.Time) {
	user.longestWait = max(user.longestWait, now.Sub(user.lastAnswer))
	if !r.faultsEnded.IsZero() {
		from := user.lastAnswer
		if from.Before(r.faultsEnded) {
			from = r.faultsEnded
		}
		user.longestWaitAfterFaults = max(user.longestWaitAfterFaults, now.Sub(from))
	}
	user.lastAnswer = now
}

// allDone reports whether all jobs were accepted and are done.
func (r *restartScenario) allDone() bool {
	r.usersMu.Lock()
	defer r.usersMu.Unlock()
	for _, user := range r.users {
		if user.status != wire.Done {
			return false
		}
	}
	return len(r.users) == scenarioJobs
}

// scenarioJobs is the number of jobs that runAndCheck submits.
const scenarioJobs = 24

// runAndCheck has users submit jobs for 90 s and calls faults every second for 120 s. It then allows no
// more crashes, runs for another 3 min, or up to 20 min until all jobs are done, and checks the jobs.
func (r *restartScenario) runAndCheck(faults func()) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(r.t.Context())
	r.start(ctx, 4, 0.03)
	r.onStart(ctx)
	for i := range scenarioJobs {
		spec := r.randomSpec(i)
		after := time.Millisecond + time.Duration(r.randomInt(90_000))*time.Millisecond
		r.group.Go(func() {
			wait.For(ctx, after)
			r.pollJob(ctx, spec)
		})
	}
	for range 120 {
		time.Sleep(time.Second)
		r.world.Check()
		if faults != nil {
			faults()
		}
	}
	r.usersMu.Lock()
	r.faultsEnded = time.Now()
	r.usersMu.Unlock()
	for second := 0; second < 180 || second < 1200 && !r.allDone(); second++ {
		time.Sleep(time.Second)
		r.world.Check()
	}
	longest, longestAfterFaults, done := r.checkUsers()
	r.shutDownAndCheck(cancel)
	r.t.Logf(
		"downtime %v, %d crashes: %d of %d polls failed; longest wait for an answer %v, %v once faults were over; "+
			"%d removals by the balancer, the longest for %v; %d of %d jobs done",
		r.downtime,
		r.crashes,
		r.failedPolls,
		r.polls,
		longest.Round(time.Millisecond),
		longestAfterFaults.Round(time.Millisecond),
		r.balancer.Removals,
		r.balancer.Longest,
		done,
		scenarioJobs,
	)
}

// checkUsers checks that all jobs were accepted and are done, and that no user was without an answer for
// longer than maxWaitAfterFaults after all faults were over. It returns the longest waits for an answer,
// overall and after the faults, and the number of jobs that are done.
func (r *restartScenario) checkUsers() (longest, longestAfterFaults time.Duration, done int) {
	r.t.Helper()
	r.usersMu.Lock()
	defer r.usersMu.Unlock()
	now := time.Now()
	for id, user := range r.users {
		if user.status == wire.Done {
			done++
		} else {
			r.recordAnswer(user, now)
		}
		longest, longestAfterFaults = max(longest, user.longestWait), max(longestAfterFaults, user.longestWaitAfterFaults)
		if user.longestWaitAfterFaults > maxWaitAfterFaults {
			r.t.Errorf(
				"seed %d: longest wait for an answer about %s once faults were over: got %v, want <= %v",
				r.seed,
				id,
				user.longestWaitAfterFaults,
				maxWaitAfterFaults,
			)
		}
	}
	if accepted := len(r.users); accepted < scenarioJobs || done < scenarioJobs {
		r.t.Errorf("seed %d: got %d jobs accepted and %d done, want %d", r.seed, accepted, done, scenarioJobs)
	}
	return longest, longestAfterFaults, done
}
