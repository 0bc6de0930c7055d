package policymanager

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/plugin"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// chooseInitial stores and chooses the initial module if no policy ever was chosen. Only the leader does, and
// at best effort. Should operators choose another meanwhile, that stands.
func (m *Manager) chooseInitial(ctx context.Context) {
	m.mu.Lock()
	initial, limits := m.options.Initial, m.options.Limits
	m.mu.Unlock()
	var record ledger.PolicyRecord
	m.host.Read(func(records *ledger.Ledger) { record, _ = records.Policy() })
	_, leading := m.host.Term()
	if !leading || len(initial.Code) == 0 || !plugin.Open(record, time.Now(), retryInitialAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chooseInitialTimeout)
	defer cancel()
	limits.TxnOps = max(1, limits.TxnOps/4)
	catalog := &plugin.Catalog{Records: pacedStore{m.store, m.host}, Limits: limits, Now: time.Now}
	hash, err := catalog.Load(ctx, initial.Code, initial.Name, initial.Signature)
	if err == nil {
		err = catalog.Begin(ctx, hash)
	}
	if err != nil {
		m.log.Warn("initial module is not chosen", "module", hash.Short(), "err", err)
		return
	}
	m.log.Info("initial module is chosen", "module", hash.Short())
}

// pacedStore is a state service that takes best-effort changes: Commit waits for spare capacity.
type pacedStore struct {
	kvstore.Store
	host Host
}

// Commit waits until the transaction is in no other change's way.
func (p pacedStore) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	for p.host.SpareCapacity() < len(t.Then) {
		if wait.For(ctx, interval/5); ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return p.Store.Commit(ctx, t)
}

// completeSwap completes a swap once every controller has the module, or abandons it once one can't have it or
// swapTimeout is over. Only the leader does.
func (m *Manager) completeSwap(ctx context.Context, now time.Time) {
	var record ledger.PolicyRecord
	var version wire.Revision
	var own []peer.Module
	m.host.Read(func(records *ledger.Ledger) {
		if record, version = records.Policy(); record.Next != "" {
			own = m.Modules(records)
		}
	})
	term, leading := m.host.Term()
	if record.Next == "" || !leading {
		return
	}
	controllers := append(m.host.Others(), Controller{m.member, true, own})
	outcome := judgeSwap(record, controllers, now)
	if !outcome.complete && outcome.fault == "" {
		return
	}
	if err := m.endSwap(ctx, record, version, term, outcome.fault, now); err != nil {
		m.log.Debug("change of policy not written", "err", err)
		return
	}
	if outcome.fault != "" {
		m.log.Warn("policy swap abandoned", "module", record.Next.Short(), "why", outcome.fault)
		return
	}
	m.log.Info("policy in use", "module", record.Next.Short())
}

// swapOutcome is how a swap stands: complete, to be abandoned for a fault, or neither yet.
type swapOutcome struct {
	complete bool
	fault    string
}

// judgeSwap judges a swap by the modules that all controllers have.
func judgeSwap(record ledger.PolicyRecord, controllers []Controller, now time.Time) swapOutcome {
	outcome := swapOutcome{complete: true}
	silent := ""
	for _, c := range controllers {
		if !c.Reachable {
			outcome.complete, silent = false, fmt.Sprintf("%s was not heard", c.Member)
			continue
		}
		loaded := false
		for _, module := range c.Modules {
			if module.Hash == record.Next && module.LoadError != "" {
				outcome.fault = fmt.Sprintf("%s: %s", c.Member, module.LoadError)
			} else if module.Hash == record.Next {
				loaded = true
			}
		}
		outcome.complete = outcome.complete && loaded
	}
	requested := time.UnixMilli(int64(record.At))
	if outcome.fault == "" && !outcome.complete && now.Sub(requested) > swapTimeout {
		outcome.fault = cmp.Or(silent, "not every controller had it in time")
	}
	return outcome
}

// endSwap records a swap as complete, or as abandoned for a fault. It is conditioned on the leader's term, too:
// the swap was judged by what this controller received as the leader.
func (m *Manager) endSwap(
	ctx context.Context,
	record ledger.PolicyRecord,
	version, term wire.Revision,
	fault string,
	now time.Time,
) error {
	value, err := json.Marshal(record.EndSwap(fault, wire.UnixMillis(now.UnixMilli())))
	if err != nil {
		return err
	}
	_, err = m.host.Commit(ctx, wire.Txn{
		If: []wire.Condition{
			{Key: ledger.PolicyKey, Version: version},
			{Key: ledger.LeaderKey, Version: term},
		},
		Then: []wire.Change{{Put: ledger.PolicyKey, Value: value}},
	})
	return err
}
