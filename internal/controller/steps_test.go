package controller

import (
	"context"
	"strings"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/emulator"
	"maddermill/wire"
)

// Steps of a controller's work are named "<kind> sent" before a request is sent and "<kind> answered"
// after it was executed and before its response is read. The kinds of requests to the cloud are
// "scale-out" and "scale-in"; the kinds of transactions are listed in changeKinds.

// changeKinds classifies changes in the state service. The first match gives the kind of a change, and the
// last change with a kind gives that of its transaction.
var changeKinds = []struct {
	name     string
	key      string // prefix of the written key
	contains string // substring of the value
	excludes string // substring that the value must not contain, if not empty
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
	{name: "gallery binding", key: ledger.Prefix + "j/", contains: `"g":`, excludes: `"a":`},
	{name: "step", key: ledger.Prefix + "j/", contains: `"of":`, excludes: `"a":`},
	{name: "scale-out record", key: ledger.ScaleOutKey},
	{name: "machine phase", key: ledger.Prefix + "m/"},
	{name: "start", key: ledger.Prefix + "j/", contains: `"c":`},
	{name: "exit", key: ledger.Prefix + "j/", contains: `"state":"done"`},
}

// transactionStep returns the step that a transaction has reached; applied is set once it was executed.
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

// changeKind returns the kind of a change, or "" if no entry of changeKinds matches.
func changeKind(change wire.Change) string {
	value := string(change.Value)
	for _, k := range changeKinds {
		if strings.HasPrefix(change.Put, k.key) && strings.Contains(value, k.contains) &&
			(k.excludes == "" || !strings.Contains(value, k.excludes)) {
			return k.name
		}
	}
	return ""
}

// reachStep calls onStep, and pauses controller i for 50 s if it is the first to reach pauseAtStep.
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

// pausableCloud is a controller's client of the cloud. While the controller's process is paused, it holds back requests
// and responses.
type pausableCloud struct {
	*emulator.Cloud
	link *emulator.Link
	step func(string)
}

// ScaleOut requests machines, and repeats the request 7 s later if the link duplicates messages.
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

// ScaleIn releases machines, and repeats the request 7 s later if the link duplicates messages.
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
