package controller

import (
	"context"
	"strings"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// Steps of a controller's work are named "<kind> sent" when a request leaves and "<kind> answered"
// when it has been carried out and its answer is about to be read. The kinds of requests to the
// cloud are "scale-out" and "scale-in"; those of transactions are listed by changeKinds.

// changeKinds are the kinds of changes. The first that matches names a change; of a transaction the
// last change that has a name counts.
var changeKinds = []struct {
	name     string
	key      string // prefix of the key that is put
	contains string // in the value
	lacks    string // in the value
}{
	{name: "archive", key: ledger.ArchivePrefix},
	{name: "machines pruned", key: ledger.Prefix + "g/"},
	{name: "format", key: ledger.FormatKey},
	{name: "gallery state", key: ledger.Prefix + "p/", contains: `"state":`},
	{name: "gallery", key: ledger.Prefix + "p/"},
	{name: "register", key: ledger.RegisterKey},
	{name: "leader", key: ledger.LeaderKey},
	{name: "token", key: ledger.TokenKey},
	{name: "documents", key: "mmd1/"},
	{name: "prune", key: ledger.Prefix + "w/", contains: `"swept":true`},
	{name: "workflow cancelled", key: ledger.Prefix + "w/", contains: `"state":"cancelled"`},
	{name: "workflow end", key: ledger.Prefix + "w/", contains: `"state":`},
	{name: "workflow", key: ledger.Prefix + "w/"},
	{name: "gallery binding", key: ledger.Prefix + "j/", contains: `"g":`, lacks: `"a":`},
	{name: "step", key: ledger.Prefix + "j/", contains: `"of":`, lacks: `"a":`},
	{name: "scale-out record", key: ledger.ScaleOutKey},
	{name: "machine phase", key: ledger.Prefix + "m/"},
	{name: "start", key: ledger.Prefix + "j/", contains: `"c":`},
	{name: "exit", key: ledger.Prefix + "j/", contains: `"state":"done"`},
}

// transactionStep returns the step at which a transaction is.
func transactionStep(t wire.Txn, applied bool) string {
	kind := ""
	for _, change := range t.Then {
		if name := changeKind(change); name != "" {
			kind = name
		}
	}
	if applied {
		return kind + " answered"
	}
	return kind + " sent"
}

// changeKind returns the kind of a change; "": none of changeKinds.
func changeKind(change wire.Change) string {
	value := string(change.Value)
	for _, k := range changeKinds {
		if strings.HasPrefix(change.Put, k.key) && strings.Contains(value, k.contains) &&
			(k.lacks == "" || !strings.Contains(value, k.lacks)) {
			return k.name
		}
	}
	return ""
}

// reachStep calls the test's hook and pauses the controller if that is wanted at this step.
func (cluster *testCluster) reachStep(i int, step string) {
	if cluster.onStep != nil {
		cluster.onStep(i, step)
	}
	cluster.mu.Lock()
	ctx := cluster.runContexts[i]
	pauseNow := step == cluster.pauseAtStep && !cluster.pausedAtStep
	cluster.pausedAtStep = cluster.pausedAtStep || pauseNow
	cluster.mu.Unlock()
	if pauseNow {
		cluster.links[i].Freeze(50 * time.Second)
		cluster.group.Go(func() { cluster.pause(ctx, i, 50*time.Second) })
	}
}

// pausableCloud is the cloud as a controller sees it whose process may be paused.
type pausableCloud struct {
	*emulator.Cloud
	link *emulator.Link
	step func(string)
}

// ScaleOut rents machines, once more 7 s later if the link duplicates messages.
func (c pausableCloud) ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]wire.MachineID, error) {
	c.step("scale-out sent")
	if c.link.Copies {
		late := context.WithoutCancel(ctx)
		time.AfterFunc(7*time.Second, func() { _, _ = c.Cloud.ScaleOut(late, r) })
	}
	c.link.Thaw()
	defer c.link.Thaw()
	defer c.step("scale-out answered")
	return c.Cloud.ScaleOut(ctx, r)
}

// ScaleIn returns machines, once more 7 s later if the link duplicates messages.
func (c pausableCloud) ScaleIn(ctx context.Context, names []wire.MachineID) error {
	c.step("scale-in sent")
	if c.link.Copies {
		late := context.WithoutCancel(ctx)
		time.AfterFunc(7*time.Second, func() { _ = c.Cloud.ScaleIn(late, names) })
	}
	c.link.Thaw()
	defer c.link.Thaw()
	defer c.step("scale-in answered")
	return c.Cloud.ScaleIn(ctx, names)
}
