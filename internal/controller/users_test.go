package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// request sends a user's request about one job to a controller.
type request func(ctx context.Context, c *Controller) (wire.JobStatus, error)

// statusRequest asks for a job's status.
func statusRequest(id wire.JobID) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) { return c.Jobs.Status(ctx, id) }
}

// submitRequest submits a job.
func submitRequest(spec *wire.JobSpec) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) {
		status, _, err := c.Jobs.Submit(ctx, spec)
		return status, err
	}
}

// cancelRequest cancels a job.
func cancelRequest(id wire.JobID) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) { return c.Jobs.Cancel(ctx, id) }
}

// queryController sends a request to controller at and checks the answer against observedStates.
// answered is false if there is no answer, as when the controller crashes during the request.
func (cluster *testCluster) queryController(
	ctx context.Context,
	id wire.JobID,
	at int,
	r request,
) (got wire.Status, answered bool) {
	c := cluster.controller(at)
	if c == nil {
		return "", false
	}
	before := cluster.observed.latestOf(id)
	limited, cancel := context.WithTimeout(ctx, 5*time.Second)
	status, err := r(limited, c)
	cancel()
	if cluster.controller(at) != c || ctx.Err() != nil || cluster.links[at].Frozen() > 0 ||
		err != nil && !errors.Is(err, server.ErrNoSuchJob) {
		return "", false
	}
	got = status.Status
	if err != nil {
		got = unknownJob
	}
	if !cluster.observed.observe(id, before, got) {
		cluster.t.Errorf("seed %d: status of %s at controller %d: got %q after %q", cluster.seed, id, at, got, before)
	}
	if got != unknownJob {
		cluster.world.ObserveAnswer(id, got)
	}
	return got, true
}

// queryAny sends a request to one controller after another, from a random one, until one answers.
func (cluster *testCluster) queryAny(ctx context.Context, id wire.JobID, r request) wire.Status {
	for at := cluster.randomInt(cluster.size); ctx.Err() == nil; at = (at + 1) % cluster.size {
		if status, answered := cluster.queryController(ctx, id, at, r); answered {
			return status
		}
		wait.For(ctx, 500*time.Millisecond)
	}
	return ""
}

// queryAll concurrently asks all controllers for a job's status, three times within milliseconds, and then
// repeats the submission at each. It doesn't wait for the answers.
func (cluster *testCluster) queryAll(ctx context.Context, spec *wire.JobSpec) {
	for i := range cluster.size {
		cluster.group.Go(func() {
			for _, pause := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond} {
				wait.For(ctx, pause)
				cluster.queryController(ctx, spec.ID, i, statusRequest(spec.ID))
			}
			cluster.queryController(ctx, spec.ID, i, submitRequest(spec))
		})
	}
}

// queryStatus returns a job's status as reported by any controller.
func (cluster *testCluster) queryStatus(ctx context.Context, id wire.JobID) wire.Status {
	return cluster.queryAny(ctx, id, statusRequest(id))
}

// submit submits a job to any controller, with defaults for missing fields; see filledIn.
func (cluster *testCluster) submit(ctx context.Context, spec *wire.JobSpec) {
	*spec = cluster.filledIn(*spec)
	cluster.world.Upload(spec)
	cluster.queryAny(ctx, spec.ID, submitRequest(spec))
}

// filledIn returns a copy of a job in which default values are set if the job has no class.
func (cluster *testCluster) filledIn(spec wire.JobSpec) wire.JobSpec {
	if spec.Class == "" {
		spec.Class, spec.Team, spec.Priority = "c", "free", wire.Normal
		spec.CPUs, spec.MemoryGB, spec.Spot = 1, 1, true
		spec.Image, spec.ImageGB, spec.Estimate = "img-0", 2, 60
	}
	return spec
}

// cancelElsewhere sends the cancellation of a job to each controller except one in turn, until one
// acknowledges it. It returns the index of that controller.
func (cluster *testCluster) cancelElsewhere(ctx context.Context, id wire.JobID, except int) (by int, ok bool) {
	for ctx.Err() == nil {
		for i := range cluster.size {
			c := cluster.controller(i)
			if i == except || c == nil {
				continue
			}
			limited, end := context.WithTimeout(ctx, 4*time.Second)
			status, err := c.Jobs.Cancel(limited, id)
			end()
			if err == nil && status.Status == wire.Cancelled && cluster.controller(i) == c {
				cluster.world.ObserveAnswer(id, wire.Cancelled)
				return i, true
			}
			if err != nil && errors.Is(err, context.Canceled) {
				return 0, false
			}
		}
		wait.For(ctx, 300*time.Millisecond)
	}
	return 0, false
}

// retryUntilAnswered calls f with random controllers until a call returns no error. An error that
// the job is unknown fails the test.
func retryUntilAnswered[T any](
	ctx context.Context,
	cluster *testCluster,
	about string,
	f func(context.Context, *Controller) (T, error),
) (answer T, ok bool) {
	for ctx.Err() == nil {
		if c := cluster.controller(cluster.randomInt(cluster.size)); c != nil {
			limited, cancel := context.WithTimeout(ctx, 4*time.Second)
			got, err := f(limited, c)
			cancel()
			if err == nil {
				return got, true
			}
			if errors.Is(err, server.ErrNoSuchJob) {
				cluster.t.Errorf("seed %d: %s: got %v, want it to be known", cluster.seed, about, err)
			}
		}
		wait.For(ctx, time.Second)
	}
	return answer, false
}

// runUser acts as a user who submits a job and polls it until it is final, and cancels it if cancelAfter
// is positive. It queries all controllers concurrently after the job is accepted and after it is final.
func (cluster *testCluster) runUser(
	ctx context.Context,
	spec *wire.JobSpec,
	cancelAfter time.Duration,
	finished *int,
) {
	cluster.world.Upload(spec)
	cluster.queryAny(ctx, spec.ID, submitRequest(spec))
	cluster.queryAll(ctx, spec)
	acceptedAt := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, 5*time.Second)
		r := statusRequest(spec.ID)
		if cancelAfter > 0 && time.Since(acceptedAt) > cancelAfter {
			r = cancelRequest(spec.ID)
		}
		if rank(cluster.queryAny(ctx, spec.ID, r)) == 2 {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	cluster.queryAll(ctx, spec)
	cluster.mu.Lock()
	*finished++
	cluster.mu.Unlock()
	wait.For(ctx, 70*time.Second)
	cluster.queryAny(ctx, spec.ID, statusRequest(spec.ID))
	// A submission that is retried at any later time must return the final state of the job.
	cluster.queryAny(ctx, spec.ID, func(ctx context.Context, c *Controller) (wire.JobStatus, error) {
		status, created, err := c.Jobs.Submit(ctx, spec)
		if created {
			cluster.t.Errorf("seed %d: %s submitted again after its end: got a new job", cluster.seed, spec.ID)
		}
		return status, err
	})
	cluster.queryAny(ctx, spec.ID, cancelRequest(spec.ID))
}

// randomSpec returns a random job.
func (cluster *testCluster) randomSpec(i int) *wire.JobSpec {
	spec := &wire.JobSpec{
		ID:       jobID(i),
		Class:    "c",
		Team:     "free",
		Shape:    wire.Array,
		Priority: wire.Normal,
		Tasks:    1 + cluster.randomInt(6),
		CPUs:     2,
		GPUs:     1,
		MemoryGB: 4,
		Image:    wire.Image(fmt.Sprintf("img-%d", cluster.randomInt(3))),
		ImageGB:  2,
		Spot:     cluster.randomInt(2) == 0,
		Estimate: 20,
	}
	if cluster.randomInt(2) == 0 {
		spec.Team = "capped"
	}
	if cluster.randomInt(3) == 0 {
		spec.Shape, spec.Tasks, spec.Priority = wire.Gang, 1+cluster.randomInt(3), wire.High
	}
	if cluster.randomInt(3) == 0 {
		spec.Checkpoint, spec.Save = 5, 2
	}
	switch cluster.randomInt(5) {
	case 0:
		zone := wire.Zone("b")
		spec.Zone = &zone
	case 1:
		spec.OneZone = true
	case 2:
		spec.Spread = true
	}
	if cluster.randomInt(20) == 0 {
		spec.Tasks, spec.Shape, spec.GPUs, spec.Team = 70, wire.Array, 0, "free" // needs more than one record
	}
	return spec
}

// jobID returns the ID of job i.
func jobID(i int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", i)) }
