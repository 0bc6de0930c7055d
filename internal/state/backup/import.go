package backup

import (
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

// CheckExport reads a whole export and returns its end. The error is a *DamagedError that says where
// the export is not complete.
func CheckExport(r io.Reader) (End, error) { return read(r, func(frame) error { return nil }) }

// ErrNotEmpty is wrapped by the error of Import where the state service holds records of something
// else.
var ErrNotEmpty = errors.New("backup: the state service is not empty")

// marker is the record that says that an import is under way, and of which export.
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

// Import puts an export into an empty state service. The file is read whole before anything is
// written. Until the import is complete no controller serves from the records; one that broke off is
// continued by the same call with the same file. Keys are only ever created. Revisions restart in
// the new state service, so the format of the records gets a new era, made of now.
func Import(ctx context.Context, file io.ReadSeeker, s Target, limits ledger.Limits, now time.Time) (End, error) {
	changed, end, err := readChanges(file)
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
	in := newImporter(ctx, s, limits)
	if err := in.addBase(file, changed); err != nil {
		return end, err
	}
	if err := in.addChanged(changed); err != nil {
		return end, err
	}
	if err := in.batch.Flush(); err != nil {
		return end, err
	}
	// Names of rented machines are made from revisions, which the era makes unique.
	in.format.Era = strconv.FormatInt(now.UnixMilli(), 36)
	format, err := json.Marshal(in.format)
	if err != nil {
		return end, err
	}
	return end, finish(ctx, s, format)
}

// readChanges reads an export to its end and returns the last value of each key that changed while
// it was made; nil: deleted. These are few, unlike the rest, which is not held in memory.
func readChanges(file io.Reader) (map[string][]byte, End, error) {
	changed := map[string][]byte{}
	end, err := read(file, func(f frame) error {
		for _, r := range f.Changes {
			changed[r.Key] = r.Value
		}
		return nil
	})
	return changed, end, err
}

// importer writes the records of an export in batches. The format of the records is kept back: it
// is written by finish.
type importer struct {
	batch      *ledger.Batch
	valueBytes int // that a value may have
	format     ledger.FormatRecord
}

// newImporter returns an importer that creates keys in a state service.
func newImporter(ctx context.Context, s Target, limits ledger.Limits) *importer {
	create := func(changes []wire.Change) error {
		t := wire.Txn{Then: changes}
		for _, change := range changes {
			t.If = append(t.If, wire.Condition{Key: change.Put})
		}
		return commitCreate(ctx, s, t)
	}
	return &importer{
		batch:      &ledger.Batch{Limits: limits, Commit: create},
		valueBytes: limits.ValueBytes,
		format:     ledger.FormatRecord{Format: ledger.OldestFormat},
	}
}

// add adds one record.
func (in *importer) add(key string, value []byte) error {
	if key == ledger.FormatKey {
		return json.Unmarshal(value, &in.format)
	}
	if len(value) > in.valueBytes {
		return fmt.Errorf("backup: %s takes %d bytes, and values here may have %d", key, len(value), in.valueBytes)
	}
	return in.batch.Put(key, value)
}

// addBase reads the file once more and adds the records that did not change while it was made.
func (in *importer) addBase(file io.ReadSeeker, changed map[string][]byte) error {
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	_, err := read(file, func(f frame) error {
		for _, r := range f.Base {
			if _, ok := changed[r.Key]; ok {
				continue
			}
			if err := in.add(r.Key, r.Value); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

// addChanged adds the records that changed, in the order of their keys.
func (in *importer) addChanged(changed map[string][]byte) error {
	keys := make([]string, 0, len(changed))
	for key, value := range changed {
		if value != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if err := in.add(key, changed[key]); err != nil {
			return err
		}
	}
	return nil
}

// begin writes the marker that an import is under way, or finds that this import is.
func begin(ctx context.Context, s Target, mark []byte) error {
	item, err := retry(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if err == nil {
		if !sameJSON(item.Value, mark) {
			return fmt.Errorf("%w: another export is being imported", ErrNotEmpty)
		}
		return nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	page, err := retry(ctx, func() (wire.ItemPage, error) { return s.List(ctx, ledger.AllPrefix, "", 1) })
	if err != nil {
		return err
	}
	if len(page.Items) > 0 {
		return fmt.Errorf("%w: it has %s", ErrNotEmpty, page.Items[0].Key)
	}
	return commitCreate(ctx, s, wire.Txn{
		If:   []wire.Condition{{Key: ledger.ImportKey}},
		Then: []wire.Change{{Put: ledger.ImportKey, Value: mark}},
	})
}

// finish writes the records' format and deletes the marker, which lets controllers serve.
func finish(ctx context.Context, s Target, format []byte) error {
	item, err := retry(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // an earlier call finished, and its answer was lost
	}
	if err != nil {
		return err
	}
	return commitCreate(ctx, s, wire.Txn{
		If:   []wire.Condition{{Key: ledger.ImportKey, Version: item.Version}, {Key: ledger.FormatKey}},
		Then: []wire.Change{{Put: ledger.FormatKey, Value: format}, {Delete: ledger.ImportKey}},
	})
}

// commitCreate commits a transaction that creates keys and may delete others. A conflict is no error
// if the keys have the values that they are to get: an answer was lost, or an import is continued.
func commitCreate(ctx context.Context, s Target, t wire.Txn) error {
	_, err := retry(ctx, func() (wire.Revision, error) { return s.Commit(ctx, t) })
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for _, change := range t.Then {
		if change.Put == "" {
			continue
		}
		item, err := retry(ctx, func() (wire.Item, error) { return s.Get(ctx, change.Put) })
		switch {
		case errors.Is(err, kvstore.ErrNotFound) && len(t.Then) > 1:
			// Only some of the keys exist: create the others one at a time.
			single := wire.Txn{If: []wire.Condition{{Key: change.Put}}, Then: []wire.Change{change}}
			if err := commitCreate(ctx, s, single); err != nil {
				return err
			}
		case err != nil:
			return err
		case !sameJSON(item.Value, change.Value):
			return fmt.Errorf("%w: %s is there with another value", ErrNotEmpty, change.Put)
		}
	}
	return nil
}

// sameJSON reports whether two documents in JSON have the same content.
func sameJSON(a, b []byte) bool {
	first, ok := canonicalJSON(a)
	second, ok2 := canonicalJSON(b)
	return ok && ok2 && first == second
}

// canonicalJSON returns a document in JSON with its keys sorted.
func canonicalJSON(document []byte) (string, bool) {
	var v any
	if json.Unmarshal(document, &v) != nil {
		return "", false
	}
	b, err := json.Marshal(v)
	return string(b), err == nil
}
