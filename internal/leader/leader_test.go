package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"maddermill/internal/scheduler/estimate"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// newTestLeader returns a leader that doesn't run, with the parts of a controller that don't run either.
func newTestLeader(tb testing.TB) *Leader {
	tb.Helper()
	p := controllertest.New(tb, 0)
	parts := Parts{
		Cache:        p.Cache,
		Committer:    p.Committer,
		Membership:   p.Membership,
		Registry:     p.Registry,
		Failures:     p.Failures,
		SpotReclaims: &estimate.SpotReclaims{},
		Scheduler:    p.Scheduler,
		Policies:     p.Policies,
	}
	return New(p.Set, p.Store, parts, p.Stats, p.Log)
}

// recordLeader writes a leader's record of l's controller with a token, has l's cache load it, and returns
// its revision.
func recordLeader(t *testing.T, l *Leader, token wire.FencingToken) wire.Revision {
	t.Helper()
	value, err := json.Marshal(ledger.LeaderRecord{Member: l.set.Member, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	revision, err := l.store.Commit(t.Context(), wire.Txn{
		Then: []wire.Change{{Put: ledger.LeaderKey, Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Cache.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return revision
}

// recordingCloud records the requests for machines that it gets.
type recordingCloud struct {
	emulator.Cloud
	requests []wire.ScaleOutID
	fail     error // the answer to each request; nil: the machines requested
}

func (c *recordingCloud) ScaleOut(_ context.Context, request wire.ScaleOutRequest) ([]wire.MachineID, error) {
	c.requests = append(c.requests, request.Request)
	if c.fail != nil {
		return nil, c.fail
	}
	var ids []wire.MachineID
	for i := range request.Count {
		ids = append(ids, wire.MachineID(fmt.Sprintf("%s-%d", request.Request, i)))
	}
	return ids, nil
}
