// Package runner is the part of a controller that drives workflows: it accepts them, submits
// their steps' jobs as they become ready, and tells of them (docs/cwl.md).
//
// Which controller drives one follows from the workflow's name and the controllers in touch.
// That two drive one for a while does no harm, that none does only lasts until the next look.
package runner

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/metrics"
	"maddermill/internal/scheduler"
	"maddermill/internal/scheduler/crashloop"
	"maddermill/internal/scheduler/deadlinetracker"
	"maddermill/internal/server"
	"maddermill/internal/settings"
	"maddermill/internal/state/archiver"
	"maddermill/internal/state/committer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/state/watchcache"
	"maddermill/internal/wait"
	"maddermill/internal/workflow"
	"maddermill/internal/workflow/stepdata"
	"maddermill/wire"
)

// Parts are what workflows are driven with.
type Parts struct {
	Cache      *watchcache.Cache
	Committer  *committer.Committer
	Membership *membership.Membership
	Failures   *crashloop.Tracker
	Scheduler  *scheduler.Scheduler
	Jobs       *server.JobServer
	Archiver   *archiver.Archiver
	Deadlines  *deadlinetracker.Tracker
}

// Runner is that part of a controller. It is off until Set.
type Runner struct {
	set     *settings.Settings
	records kvstore.Store
	Parts
	stats *metrics.Set
	log   *slog.Logger

	store stepdata.Store // nil: workflows are off
	// Under the mirror's lock:
	driven map[wire.WorkflowID]*driven
	looked map[wire.WorkflowID]*looked // driven elsewhere, and asked about here
}

// New returns a part with workflows off.
func New(set *settings.Settings, records kvstore.Store, p Parts, stats *metrics.Set, log *slog.Logger) *Runner {
	return &Runner{set: set, records: records, Parts: p, stats: stats, log: log}
}

func (c *Runner) led() *ledger.Ledger { return c.Cache.Records() }

// looked is a workflow that another controller drives, as far as it is looked at here.
type looked struct {
	mu  sync.Mutex
	run *workflow.Run
	at  wire.Revision
	ask time.Time // when it was last asked about

	miss atomic.Bool // the last pass lacked some of what is archived
}

type driven struct {
	run   *workflow.Run
	at    wire.Revision // of the record that it was made from
	next  time.Time     // no step before, after an error
	steps []wire.StepStatus
}

// Bounds of driving workflows.
const (
	driveEvery    = time.Second
	driveAgain    = 5 * time.Second // after an error
	mostPieces    = 26 * 26
	mostDocuments = 8 << 20 // bytes unpacked
	// doubtfulAfter is after how many rounds of failures on several machines a step's job is
	// given up. A user's job is not: its user may know better.
	doubtfulAfter = 3
	// stepShare is the part of a controller's share of changes that submitting steps may
	// take, so that a wide workflow leaves room for users and starts.
	stepShare = 0.25
)

// Errors that users of workflows are told of.
var (
	ErrNoWorkflows = errors.New("workflows are not switched on")
	ErrNotFailed   = errors.New("only a workflow that failed can be resumed")
)

// Set switches workflows on, before Run. What steps pass to each other is kept in store.
func (c *Runner) Set(store stepdata.Store) {
	c.store, c.driven, c.looked = store, map[wire.WorkflowID]*driven{}, map[wire.WorkflowID]*looked{}
}

// Run drives this controller's part of the workflows, until ctx ends.
func (c *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, driveEvery)
		c.Cache.Lock()
		var mine []*ledger.Workflow
		if c.store != nil && c.Cache.SyncedWithin(time.Now(), settings.StartContact) {
			mine = c.myWorkflows(time.Now())
		}
		c.Cache.Unlock()
		budget := max(1, int(c.set.Cluster.State.WriteRPS/float64(c.set.Cluster.Count)*stepShare))
		for i, w := range mine {
			// What is left of the budget is shared among those that are left.
			share := max(1, budget/(len(mine)-i))
			if budget <= 0 {
				share = 0
			}
			n, err := c.drive(ctx, w, share)
			budget -= n
			if err != nil && ctx.Err() == nil {
				c.log.Warn("workflow does not move on", "workflow", w.ID, "err", err)
			}
		}
	}
	return ctx.Err()
}

// myWorkflows are those that are not over and that fall to this controller, by weights
// that each member has for each workflow, so that few change hands when a member goes.
func (c *Runner) myWorkflows(now time.Time) []*ledger.Workflow {
	members := append(c.Membership.ReachablePeers(now), c.set.Member)
	var out []*ledger.Workflow
	for id := range c.driven {
		if c.led().Workflow(id) == nil {
			delete(c.driven, id) // archived
		}
	}
	c.led().EachWorkflow(func(w *ledger.Workflow) {
		if w.State != ledger.WorkflowActive && (w.State != ledger.WorkflowCancelled || w.Swept) {
			delete(c.driven, w.ID)
			return
		}
		best := slices.MaxFunc(members, func(a, b wire.MemberID) int {
			return cmp.Or(cmp.Compare(weight(a, w.ID), weight(b, w.ID)), cmp.Compare(a, b))
		})
		if best == c.set.Member {
			out = append(out, w)
		} else {
			delete(c.driven, w.ID)
		}
	})
	slices.SortFunc(out, func(a, b *ledger.Workflow) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Priority.Rank(), b.Spec.Priority.Rank()),
			cmp.Compare(a.Accepted, b.Accepted),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

func weight(m wire.MemberID, w wire.WorkflowID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m))
	h.Write([]byte{0})
	h.Write([]byte(w))
	return h.Sum64() * 0x9e3779b97f4a7c15 // names that end alike are spread
}

// drive moves one workflow on.
func (c *Runner) drive(ctx context.Context, w *ledger.Workflow, most int) (submitted int, err error) {
	c.Cache.Lock()
	d := c.driven[w.ID]
	if d != nil && d.at != w.Version {
		d = nil // resumed, or cancelled
	}
	c.Cache.Unlock()
	now := time.Now()
	if d != nil && now.Before(d.next) {
		return 0, nil
	}
	if d == nil {
		run, err := c.resume(ctx, w, new(atomic.Bool))
		if errors.Is(err, errNoDocuments) {
			return 0, err
		}
		if err != nil {
			// They were checked when it was accepted, by another version perhaps.
			return 0, stepJobs{c: c}.EndWorkflow(ctx, w.ID, ledger.WorkflowFailed, err.Error())
		}
		d = &driven{run: run, at: w.Version}
	}
	if w.State == ledger.WorkflowCancelled {
		most = 0
	}
	over := false
	submitted, over, err = d.run.Step(ctx, now, most)
	if w.State == ledger.WorkflowCancelled && ctx.Err() == nil {
		gone, e := d.run.Cancel(ctx)
		if err = e; gone && e == nil {
			err = c.Committer.CommitNow(ctx, func(dr *ledger.Transaction) error {
				if now := c.led().Workflow(w.ID); now != nil {
					return dr.DeleteWorkflow(now)
				}
				return ledger.ErrPreconditionFailed
			})
			if errors.Is(err, ledger.ErrPreconditionFailed) {
				err = nil
			}
		}
	}
	if err != nil {
		d.next = now.Add(driveAgain)
	}
	steps := d.run.Steps(c.whyWaits)
	c.Cache.Lock()
	defer c.Cache.Unlock()
	d.steps = steps
	if c.driven[w.ID] = d; over {
		delete(c.driven, w.ID)
	}
	c.stats.Add("workflow_steps_submitted_total", int64(submitted))
	return submitted, err
}

// pack turns documents into pieces that fit the state service's values, and their hash.
func (c *Runner) pack(docs *workflow.Documents) (hash string, pieces []string, err error) {
	b, err := json.Marshal(docs)
	if err != nil {
		return "", nil, err
	}
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	if _, err := z.Write(b); err != nil {
		return "", nil, err
	}
	if err := z.Close(); err != nil {
		return "", nil, err
	}
	sum := sha256.Sum256(packed.Bytes())
	size := (c.set.ValueBytes() - 64) / 4 * 3
	for part := range slices.Chunk(packed.Bytes(), size) {
		pieces = append(pieces, base64.StdEncoding.EncodeToString(part))
	}
	if len(pieces) > mostPieces {
		return "", nil, fmt.Errorf("%w: its documents are too large", server.ErrUnschedulable)
	}
	return hex.EncodeToString(sum[:]), pieces, nil
}

// documents reads a workflow's documents from their pieces and checks them.
func (c *Runner) documents(ctx context.Context, w *ledger.Workflow) (*workflow.Documents, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var packed []byte
	for n := range w.Pieces {
		it, err := c.records.Get(ctx, ledger.DocumentKey(w.Hash, n))
		if err != nil {
			return nil, err
		}
		var text string
		if err := json.Unmarshal(it.Value, &text); err != nil {
			return nil, err
		}
		part, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, err
		}
		packed = append(packed, part...)
	}
	if sum := sha256.Sum256(packed); hex.EncodeToString(sum[:]) != w.Hash {
		return nil, fmt.Errorf("documents of %s are not what their hash says", w.ID)
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(z, mostDocuments))
	if err != nil {
		return nil, err
	}
	docs := new(workflow.Documents)
	return docs, json.Unmarshal(b, docs)
}

// errNoDocuments: a workflow's documents can't be read now.
var errNoDocuments = errors.New("documents can't be read")

// resume takes a workflow up from its documents and its steps' jobs.
func (c *Runner) resume(ctx context.Context, w *ledger.Workflow, miss *atomic.Bool) (*workflow.Run, error) {
	docs, err := c.documents(ctx, w)
	if err != nil {
		return nil, errors.Join(errNoDocuments, err)
	}
	return workflow.Resume(ctx, w, docs, stepJobs{c, w.Ended(), miss}, c.store)
}
