package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// answers is the plain model of what may be told of jobs: a job is unknown, then accepted, then
// done or cancelled, for ever. An answer may tell no less than one that came before it was asked for.
type answers struct {
	mu     sync.Mutex
	latest map[wire.JobID]wire.Status
}

const unknownJob wire.Status = ""

func rankOf(s wire.Status) int {
	switch s {
	case unknownJob:
		return 0
	case wire.Done, wire.Cancelled:
		return 2
	}
	return 1
}

// asked tells what is known when a question is asked.
func (a *answers) asked(id wire.JobID) wire.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latest[id]
}

// answered takes in an answer and reports whether it is one that may be given.
func (a *answers) answered(id wire.JobID, before, got wire.Status) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rankOf(got) > rankOf(a.latest[id]) {
		a.latest[id] = got
	}
	return rankOf(got) > rankOf(before) || rankOf(got) == rankOf(before) && (rankOf(got) < 2 || got == before)
}

type request func(ctx context.Context, c *Controller) (wire.JobStatus, error)

// askAt asks one controller and checks what it says. A process that ends meanwhile answers nothing.
func (h *history) askAt(ctx context.Context, id wire.JobID, at int, r request) (wire.Status, bool) {
	c := h.core(at)
	if c == nil {
		return "", false
	}
	before := h.answers.asked(id)
	one, cancel := context.WithTimeout(ctx, 5*time.Second)
	st, err := r(one, c)
	cancel()
	if h.core(at) != c || ctx.Err() != nil || h.links[at].Frozen() > 0 ||
		err != nil && !errors.Is(err, server.ErrNoSuchJob) {
		return "", false
	}
	got := st.Status
	if err != nil {
		got = unknownJob
	}
	if !h.answers.answered(id, before, got) {
		h.t.Errorf("%s: controller %d says %q, and %q was told before it was asked", id, at, got, before)
	}
	if got != unknownJob {
		h.world.Told(id, got)
	}
	return got, true
}

// askOne asks controllers in turn until one answers.
func (h *history) askOne(ctx context.Context, id wire.JobID, r request) wire.Status {
	for at := h.chance(h.n); ctx.Err() == nil; at = (at + 1) % h.n {
		if st, ok := h.askAt(ctx, id, at, r); ok {
			return st
		}
		wait.For(ctx, 500*time.Millisecond)
	}
	return ""
}

// askAll asks all controllers at once and again some milliseconds later, and repeats the submission
// at each.
func (h *history) askAll(ctx context.Context, spec *wire.JobSpec) {
	for i := range h.n {
		h.group.Go(func() {
			for _, pause := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 40 * time.Millisecond} {
				wait.For(ctx, pause)
				h.askAt(ctx, spec.ID, i, status(spec.ID))
			}
			h.askAt(ctx, spec.ID, i, submission(spec))
		})
	}
}

func status(id wire.JobID) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) { return c.Jobs.Status(ctx, id) }
}

func submission(spec *wire.JobSpec) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) {
		st, _, err := c.Jobs.Submit(ctx, spec)
		return st, err
	}
}

func cancellation(id wire.JobID) request {
	return func(ctx context.Context, c *Controller) (wire.JobStatus, error) { return c.Jobs.Cancel(ctx, id) }
}

// keep keeps a copy of a report, while that is wanted.
func (h *history) keep(r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.keeping {
		h.kept = append(h.kept, *r)
	}
}

// holdReports keeps copies of all reports for a while; all arrive at every controller so long after
// the next time that a controller begins to lead.
func (h *history) holdReports(ctx context.Context, length, after time.Duration) {
	h.mu.Lock()
	h.keeping, h.kept = true, nil
	h.mu.Unlock()
	wait.For(ctx, length)
	h.mu.Lock()
	h.keeping = false
	kept := h.kept
	h.mu.Unlock()
	for _, before := h.leadership(); ctx.Err() == nil; wait.For(ctx, 10*time.Millisecond) {
		if at, now := h.leadership(); at >= 0 && now > before {
			break
		}
	}
	wait.For(ctx, after)
	for _, k := range kept {
		for i := range h.n {
			if c := h.core(i); c != nil {
				h.group.Go(func() {
					report := k
					_ = c.Heartbeats.Heartbeat(ctx, &report)
				})
			}
		}
		wait.For(ctx, time.Millisecond)
	}
}
