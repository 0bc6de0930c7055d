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

// chooseInitial stores the initial module and requests a swap to it if no policy was ever chosen. Only the
// leader does this, with best-effort writes. A policy that operators choose meanwhile takes precedence.
func (m *Manager) chooseInitial(ctx context.Context) {
	m.mu.Lock()
	initial, limits := m.options.Initial, m.options.Limits
	m.mu.Unlock()
	var record ledger.PolicyRecord
	m.host.Read(func(records *ledger.Ledger) { record, _ = records.Policy() })
	_, leading := m.host.Term()
	if !leading || len(initial.Code) == 0 || !plugin.CanChooseInitial(record, time.Now(), retryInitialAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chooseInitialTimeout)
	defer cancel()
	limits.TxnOps = max(1, limits.TxnOps/4)
	catalog := &plugin.Catalog{Records: pacedStore{m.store, m.host}, Limits: limits, Now: time.Now}
	hash, err := catalog.Load(ctx, initial.Code, initial.Name, initial.Signature)
	if err == nil {
		err = catalog.RequestInitial(ctx, hash)
	}
	if err != nil {
		m.log.Warn("swap to the initial module not requested", "module", hash.Short(), "err", err)
		return
	}
	m.log.Info("swap to the initial module requested", "module", hash.Short())
}

// pacedStore is a state service whose Commit waits for spare capacity, for best-effort changes.
type pacedStore struct {
	kvstore.Store
	host Host
}

// Commit waits until there is spare capacity for all changes of the transaction, so that it does not delay
// other writes, and then commits it.
func (p pacedStore) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	for p.host.SpareCapacity() < len(t.Then) {
		if wait.For(ctx, runInterval/5); ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return p.Store.Commit(ctx, t)
}

// completeSwap completes a swap once every controller has loaded the module. It abandons the swap if a
// controller failed to load the module or swapTimeout has passed. Only the leader does either.
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
		m.log.Debug("outcome of the policy swap not recorded", "err", err)
		return
	}
	if outcome.fault != "" {
		m.log.Warn("policy swap abandoned", "module", record.Next.Short(), "why", outcome.fault)
		return
	}
	m.log.Info("policy in use", "module", record.Next.Short())
}

// swapOutcome is the outcome of a swap: complete, to be abandoned because of a fault, or still pending if
// neither is set.
type swapOutcome struct {
	complete bool
	fault    string
}

// judgeSwap derives the outcome of a swap from the modules that the controllers have loaded. A controller
// that is not reachable delays the swap until swapTimeout.
func judgeSwap(record ledger.PolicyRecord, controllers []Controller, now time.Time) swapOutcome {
	outcome := swapOutcome{complete: true}
	unreachable := ""
	for _, c := range controllers {
		if !c.Reachable {
			outcome.complete, unreachable = false, fmt.Sprintf("%s was not heard", c.Member)
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
		outcome.fault = cmp.Or(unreachable, "not every controller loaded the module in time")
	}
	return outcome
}

// endSwap records a swap as complete, or as abandoned because of a fault. The write is also conditional on
// the leader's term, because the outcome follows from what this controller received as the leader.
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
