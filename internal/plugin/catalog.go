package plugin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Records is what is needed of a state service to keep modules there.
type Records interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Catalog is the modules that are loaded and which policy is used, as operators change them.
// Every change is one conditional transaction; controllers follow the records.
type Catalog struct {
	Records Records
	Limits  ledger.Limits
	Now     func() time.Time
}

// Listed is a module in the catalog.
type Listed struct {
	Hash wire.ModuleHash
	ledger.ModuleRecord
}

// ErrUnknownModule means that no module, or more than one, has a name.
var ErrUnknownModule = errors.New("plugin: no such module")

func (c *Catalog) now() wire.UnixMillis { return wire.UnixMillis(c.Now().UnixMilli()) }

// List returns the loaded modules in order of their hashes, and the policy's record.
func (c *Catalog) List(ctx context.Context) (out []Listed, r ledger.PolicyRecord, err error) {
	prefix := ledger.ModuleKey("")
	err = kvstore.Each(ctx, c.Records, prefix, 100, func(it wire.Item) error {
		m := Listed{Hash: wire.ModuleHash(strings.TrimPrefix(it.Key, prefix))}
		if err := json.Unmarshal(it.Value, &m.ModuleRecord); err != nil {
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

// Find returns the module that a name, or the beginning of a hash, means.
func (c *Catalog) Find(ctx context.Context, text string) (wire.ModuleHash, error) {
	all, _, err := c.List(ctx)
	if err != nil {
		return "", err
	}
	var found []Listed
	for _, m := range all {
		if m.Name == text || len(text) >= 4 && strings.HasPrefix(string(m.Hash), text) {
			found = append(found, m)
		}
	}
	if len(found) != 1 {
		return "", fmt.Errorf("%w: %q means %d of those that are loaded", ErrUnknownModule, text, len(found))
	}
	return found[0].Hash, nil
}

// Load writes a module's code and then lists it. Loading it once more changes nothing but the
// signature.
func (c *Catalog) Load(ctx context.Context, code []byte, name string, signature []byte) (wire.ModuleHash, error) {
	h := HashOf(code)
	// In JSON a piece takes a third more, and its quotes.
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
		err = json.Unmarshal(it.Value, &r)
	}
	return r, it.Version, err
}

// Use begins the change to a module, "" for the built-in policy, which is used at once.
func (c *Catalog) Use(ctx context.Context, h wire.ModuleHash) error {
	return c.change(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) { return r.RequestSwap(h, c.now()) })
}

// ErrChosen means that a policy was chosen before.
var ErrChosen = errors.New("plugin: a policy was chosen before")

// Open reports whether no policy was ever chosen: there was no change, or the only one was given
// up at least a time ago.
func Open(r ledger.PolicyRecord, now time.Time, since time.Duration) bool {
	givenUp := r.Current == "" && r.Previous == "" && r.Next == "" && r.Reason != ""
	return r == (ledger.PolicyRecord{}) || givenUp && now.Sub(r.At.Time()) >= since
}

// Begin begins the change to a module where no policy was ever chosen.
func (c *Catalog) Begin(ctx context.Context, h wire.ModuleHash) error {
	return c.change(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) {
		if !Open(r, c.Now(), 0) {
			return r, ErrChosen
		}
		return r.RequestSwap(h, c.now())
	})
}

// Rollback begins the change to the policy before, or gives up the one under way.
func (c *Catalog) Rollback(ctx context.Context) error {
	return c.change(ctx, func(r ledger.PolicyRecord) (ledger.PolicyRecord, error) { return r.Rollback(c.now()) })
}

func (c *Catalog) change(ctx context.Context, move func(ledger.PolicyRecord) (ledger.PolicyRecord, error)) error {
	for {
		r, at, err := c.policy(ctx)
		if err != nil {
			return err
		}
		if r, err = move(r); err != nil {
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
			// One that is being removed must not be asked for.
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

// Wait returns the policy's record once no change is under way.
func (c *Catalog) Wait(ctx context.Context) (ledger.PolicyRecord, error) {
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

// Remove takes a module that is not in use out of the catalog, and then its code.
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
	if err := json.Unmarshal(it.Value, &m); err != nil {
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
