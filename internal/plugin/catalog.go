package plugin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Records is the subset of the state service's operations that the catalog uses.
type Records interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Catalog gives operators access to the modules stored in the state service and to the record of
// the active policy. Each change of the policy record is one conditional transaction, which
// controllers see through their watch on the records.
type Catalog struct {
	Records Records
	Limits  ledger.Limits
	Now     func() time.Time
}

// ModuleEntry is a module of the catalog: its hash and its record.
type ModuleEntry struct {
	Hash wire.ModuleHash
	ledger.ModuleRecord
}

// ErrUnknownModule is returned if a name or hash prefix does not match exactly one module.
var ErrUnknownModule = errors.New("plugin: no such module")

func (c *Catalog) now() wire.UnixMillis { return wire.UnixMillis(c.Now().UnixMilli()) }

// List returns the modules of the catalog, sorted by hash, and the policy record.
func (c *Catalog) List(ctx context.Context) (out []ModuleEntry, r ledger.PolicyRecord, err error) {
	prefix := ledger.ModuleKey("")
	err = kvstore.Each(ctx, c.Records, prefix, 100, func(it wire.Item) error {
		m := ModuleEntry{Hash: wire.ModuleHash(strings.TrimPrefix(it.Key, prefix))}
		if err := exactjson.Unmarshal(it.Value, &m.ModuleRecord); err != nil {
			return fmt.Errorf("%s: %w", it.Key, err)
		}
		out = append(out, m)
		return nil
	})
	if err != nil {
		return nil, r, err
	}
	r, _, err = c.policy(ctx)
	return out, r, err
}

// Find returns the hash of the module with a name, or with a hash prefix of at least four
// characters. It returns ErrUnknownModule unless exactly one module matches.
func (c *Catalog) Find(ctx context.Context, nameOrPrefix string) (wire.ModuleHash, error) {
	all, _, err := c.List(ctx)
	if err != nil {
		return "", err
	}
	var found []ModuleEntry
	for _, m := range all {
		if m.Name == nameOrPrefix || len(nameOrPrefix) >= 4 && strings.HasPrefix(string(m.Hash), nameOrPrefix) {
			found = append(found, m)
		}
	}
	if len(found) != 1 {
		return "", fmt.Errorf("%w: %q matches %d of the loaded modules, want 1", ErrUnknownModule, nameOrPrefix, len(found))
	}
	return found[0].Hash, nil
}

// Load stores the pieces of a module's code and then its record, so that a listed module always has
// all of its code. Loading the same code again replaces only the record: name, time and signature.
func (c *Catalog) Load(ctx context.Context, code []byte, name string, signature []byte) (wire.ModuleHash, error) {
	h := HashOf(code)
	// JSON encodes a piece in base64, which takes a third more, and adds quotes.
	pieces, err := Pack(code, (c.Limits.ValueBytes-64)/4*3)
	if err != nil {
		return h, err
	}
	batch := ledger.Batch{Limits: c.Limits, Commit: func(changes []wire.Change) error {
		_, err := c.Records.Commit(ctx, wire.Txn{Then: changes})
		return err
	}}
	for n, p := range pieces {
		b, err := json.Marshal(p)
		if err != nil {
			return h, err
		}
		if err := batch.Put(ledger.CodeKey(h, n), b); err != nil {
			return h, err
		}
	}
	if err := batch.Flush(); err != nil {
		return h, err
	}
	b, err := json.Marshal(
		ledger.ModuleRecord{Name: name, Bytes: len(code), Pieces: len(pieces), At: c.now(), Signature: signature},
	)
	if err != nil {
		return h, err
	}
	_, err = c.Records.Commit(ctx, wire.Txn{Then: []wire.Change{{Put: ledger.ModuleKey(h), Value: b}}})
	return h, err
}

func (c *Catalog) policy(ctx context.Context) (r ledger.PolicyRecord, at wire.Revision, err error) {
	it, err := c.Records.Get(ctx, ledger.PolicyKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return r, 0, nil
	}
	if err == nil {
		err = exactjson.Unmarshal(it.Value, &r)
	}
	return r, it.Version, err
}

// RequestSwap requests a swap to a module. The hash "" selects the built-in policy, which takes effect at
// once.
func (c *Catalog) RequestSwap(ctx context.Context, h wire.ModuleHash) error {
	return c.update(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) { return r.RequestSwap(h, c.now()) })
}

// ErrPolicyChosen is returned by RequestInitial if a policy was chosen before.
var ErrPolicyChosen = errors.New("plugin: a policy was already chosen")

// CanChooseInitial reports whether no policy was ever chosen: the record was never written, or the
// only swap was abandoned at least retryAfter ago.
func CanChooseInitial(r ledger.PolicyRecord, now time.Time, retryAfter time.Duration) bool {
	abandoned := r.Current == "" && r.Previous == "" && r.Next == "" && r.Reason != ""
	return r == (ledger.PolicyRecord{}) || abandoned && now.Sub(r.At.Time()) >= retryAfter
}

// RequestInitial requests a swap to a module. It returns ErrPolicyChosen if a policy was ever chosen.
func (c *Catalog) RequestInitial(ctx context.Context, h wire.ModuleHash) error {
	return c.update(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) {
		if !CanChooseInitial(r, c.Now(), 0) {
			return r, ErrPolicyChosen
		}
		return r.RequestSwap(h, c.now())
	})
}

// Rollback requests a swap to the previous policy, or abandons the swap in progress.
func (c *Catalog) Rollback(ctx context.Context) error {
	return c.update(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) { return r.Rollback(c.now()) })
}

// update applies transition to the policy record in a conditional transaction. It retries when the
// record, or that of the requested module, was changed concurrently.
func (c *Catalog) update(ctx context.Context, transition func(ledger.PolicyRecord) (ledger.PolicyRecord, error)) error {
	for {
		r, at, err := c.policy(ctx)
		if err != nil {
			return err
		}
		if r, err = transition(r); err != nil {
			return err
		}
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		t := wire.Txn{
			If:   []wire.Condition{{Key: ledger.PolicyKey, Version: at}},
			Then: []wire.Change{{Put: ledger.PolicyKey, Value: b}},
		}
		if r.Next != "" {
			// The condition on the module's record makes the swap fail if the module is removed concurrently.
			it, err := c.Records.Get(ctx, ledger.ModuleKey(r.Next))
			if errors.Is(err, kvstore.ErrNotFound) {
				return fmt.Errorf("%w: %s is not loaded", ErrUnknownModule, r.Next.Short())
			}
			if err != nil {
				return err
			}
			t.If = append(t.If, wire.Condition{Key: ledger.ModuleKey(r.Next), Version: it.Version})
		}
		_, err = c.Records.Commit(ctx, t)
		var conflict *kvstore.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

// WaitForSwap returns the policy record once no swap is in progress.
func (c *Catalog) WaitForSwap(ctx context.Context) (ledger.PolicyRecord, error) {
	for {
		r, _, err := c.policy(ctx)
		if err != nil || r.Next == "" {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(time.Second):
		}
	}
}

// Remove deletes the record of a module that is not in use, and then the pieces of its code. There is
// no rollback to it any more.
func (c *Catalog) Remove(ctx context.Context, h wire.ModuleHash) error {
	r, at, err := c.policy(ctx)
	if err != nil {
		return err
	}
	without, err := r.RemoveModule(h)
	if err != nil {
		return fmt.Errorf("%s: %w", h.Short(), err)
	}
	b, err := json.Marshal(without)
	if err != nil {
		return err
	}
	it, err := c.Records.Get(ctx, ledger.ModuleKey(h))
	if err != nil {
		return err
	}
	var m ledger.ModuleRecord
	if err := exactjson.Unmarshal(it.Value, &m); err != nil {
		return err
	}
	if _, err := c.Records.Commit(
		ctx,
		wire.Txn{If: []wire.Condition{{Key: ledger.PolicyKey, Version: at}, {Key: it.Key, Version: it.Version}},
			Then: []wire.Change{{Delete: it.Key}, {Put: ledger.PolicyKey, Value: b}}},
	); err != nil {
		return err
	}
	for n := 0; n < m.Pieces; {
		var t wire.Txn
		for ; n < m.Pieces && len(t.Then) < c.Limits.TxnOps; n++ {
			t.Then = append(t.Then, wire.Change{Delete: ledger.CodeKey(h, n)})
		}
		if _, err := c.Records.Commit(ctx, t); err != nil {
			return err
		}
	}
	return nil
}
