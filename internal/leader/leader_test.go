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

// newTestLeader returns a leader with the components of a controller; none of them is running.
func newTestLeader(tb testing.TB) *Leader {
	tb.Helper()
	components := controllertest.New(tb, 0)
	parts := Dependencies{
		Cache:        components.Cache,
		Committer:    components.Committer,
		Membership:   components.Membership,
		Registry:     components.Registry,
		Failures:     components.Failures,
		SpotReclaims: &estimate.SpotReclaims{},
		Scheduler:    components.Scheduler,
		Policies:     components.Policies,
	}
	return New(components.Set, components.Store, parts, components.Stats, components.Log)
}

// recordLeader writes a leader record for l's controller with a token, loads it into l's cache, and returns
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

// recordingCloud records the scale-out requests that it receives.
type recordingCloud struct {
	emulator.Cloud
	requests []wire.ScaleOutID
	fail     error // returned for each request; nil: the requested machines are returned
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
