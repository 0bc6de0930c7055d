package backup

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// CheckExport reads a whole export and returns its end, or a *Damaged that tells where it is not
// whole.
func CheckExport(r io.Reader) (End, error) { return read(r, func(frame) error { return nil }) }

// Errors of imports.
var (
	// ErrNotEmpty: the state service holds records of something else.
	ErrNotEmpty = errors.New("snapshot: the state service is not empty")
)

// marker is what says that an import is under way, and of what.
type marker struct {
	Revision wire.Revision   `json:"rev"`
	At       wire.UnixMillis `json:"at"`
	Sum      uint64          `json:"sum"`
}

// Target is what is needed of a state service to write it.
type Target interface {
	Source
	Get(ctx context.Context, key string) (wire.Item, error)
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Import puts an export into an empty state service. The file is read whole before anything
// is written. While it goes on no controller serves from the records; one that was broken off
// is taken up again by the same call with the same file. Keys are only ever created.
func Import(ctx context.Context, file io.ReadSeeker, s Target, limits ledger.Limits, now time.Time) (End, error) {
	// What changed while the pages were read is small; the rest goes by.
	last := map[string][]byte{}
	end, err := read(file, func(f frame) error {
		for _, r := range f.Changes {
			last[r.Key] = r.Value
		}
		return nil
	})
	if err != nil {
		return end, err
	}
	mark, err := json.Marshal(marker{end.Revision, end.At, end.Sum})
	if err != nil {
		return end, err
	}
	if err := begin(ctx, s, mark); err != nil {
		return end, err
	}
	in := &ledger.Batch{Limits: limits, Commit: func(changes []wire.Change) error {
		t := wire.Txn{Then: changes}
		for _, ch := range changes {
			t.If = append(t.If, wire.Condition{Key: ch.Put})
		}
		return put(ctx, s, t)
	}}
	format := ledger.FormatRecord{Format: ledger.OldestFormat}
	add := func(key string, value []byte) error {
		if key == ledger.FormatKey {
			return json.Unmarshal(value, &format)
		}
		if len(value) > limits.ValueBytes {
			return fmt.Errorf("snapshot: %s takes %d bytes, and values here may have %d", key, len(value), limits.ValueBytes)
		}
		return in.Put(key, value)
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return end, err
	}
	if _, err = read(file, func(f frame) error {
		for _, r := range f.Base {
			if _, changed := last[r.Key]; !changed {
				if err := add(r.Key, r.Value); err != nil {
					return err
				}
			}
		}
		return nil
	}); err != nil {
		return end, err
	}
	keys := make([]string, 0, len(last))
	for key, value := range last {
		if value != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := add(key, last[key]); err != nil {
			return end, err
		}
	}
	if err := in.Flush(); err != nil {
		return end, err
	}
	// Revisions begin anew here, and names of rentals are made from them.
	format.Era = strconv.FormatInt(now.UnixMilli(), 36)
	value, err := json.Marshal(format)
	if err != nil {
		return end, err
	}
	return end, finish(ctx, s, value)
}

// begin notes that an import is under way, or finds that this one is.
func begin(ctx context.Context, s Target, mark []byte) error {
	it, err := again(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if err == nil {
		if !sameJSON(it.Value, mark) {
			return fmt.Errorf("%w: another export is being imported", ErrNotEmpty)
		}
		return nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	page, err := again(ctx, func() (wire.ItemPage, error) { return s.List(ctx, ledger.AllPrefix, "", 1) })
	if err != nil {
		return err
	}
	if len(page.Items) > 0 {
		return fmt.Errorf("%w: it has %s", ErrNotEmpty, page.Items[0].Key)
	}
	return put(
		ctx,
		s,
		wire.Txn{If: []wire.Condition{{Key: ledger.ImportKey}}, Then: []wire.Change{{Put: ledger.ImportKey, Value: mark}}},
	)
}

// finish writes the records' format and takes the mark away, which lets controllers serve.
func finish(ctx context.Context, s Target, format []byte) error {
	it, err := again(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // an earlier answer was lost
	}
	if err != nil {
		return err
	}
	return put(
		ctx,
		s,
		wire.Txn{If: []wire.Condition{{Key: ledger.ImportKey, Version: it.Version}, {Key: ledger.FormatKey}},
			Then: []wire.Change{{Put: ledger.FormatKey, Value: format}, {Delete: ledger.ImportKey}}},
	)
}

// put commits a transaction that may only create keys. A conflict is not one if the keys
// there are as they are to be: an answer was lost, or an import is taken up again.
func put(ctx context.Context, s Target, t wire.Txn) error {
	_, err := again(ctx, func() (wire.Revision, error) { return s.Commit(ctx, t) })
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, ch := range t.Then {
		if ch.Put == "" {
			continue
		}
		it, err := again(ctx, func() (wire.Item, error) { return s.Get(ctx, ch.Put) })
		switch {
		case errors.Is(err, kvstore.ErrNotFound) && len(t.Then) > 1:
			// Some of the batch are there: one at a time.
			one := wire.Txn{If: []wire.Condition{{Key: ch.Put}}, Then: []wire.Change{ch}}
			if err := put(ctx, s, one); err != nil {
				return err
			}
		case err != nil:
			return err
		case !sameJSON(it.Value, ch.Value):
			return fmt.Errorf("%w: %s is there with another value", ErrNotEmpty, ch.Put)
		}
	}
	return nil
}

func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	p, err := json.Marshal(x)
	q, err2 := json.Marshal(y)
	return cmp.Or(err, err2) == nil && string(p) == string(q)
}
