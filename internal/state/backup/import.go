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

	"maddermill/internal/exactjson"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// CheckExport reads a whole export and returns its trailer. If the export is damaged or incomplete, the
// error is a *DamagedError with the position of the damage.
func CheckExport(r io.Reader) (Trailer, error) { return decode(r, func(frame) error { return nil }) }

// ErrNotEmpty is wrapped by errors of Import if the state service contains records that are not from the
// same export.
var ErrNotEmpty = errors.New("backup: the state service is not empty")

// importMarker is the record that exists while an import is in progress. It identifies the export.
type importMarker struct {
	Revision wire.Revision   `json:"rev"`
	At       wire.UnixMillis `json:"at"`
	Sum      uint64          `json:"sum"`
}

// Target is the part of the state service's interface that is needed to restore an export.
type Target interface {
	Source
	Get(ctx context.Context, key string) (wire.Item, error)
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

// Import restores an export into an empty state service. It reads and checks the whole file before it
// writes anything. No controller uses the records until the import is complete. An interrupted import
// is continued by calling Import again with the same file. Import only creates keys and, at the end,
// deletes its own marker. Revisions restart in the new state service, so the format record gets a new
// era, which is derived from now.
func Import(ctx context.Context, file io.ReadSeeker, s Target, limits ledger.Limits, now time.Time) (Trailer, error) {
	changed, end, err := readChanges(file)
	if err != nil {
		return end, err
	}
	marker, err := json.Marshal(importMarker{end.Revision, end.At, end.Sum})
	if err != nil {
		return end, err
	}
	if err := beginImport(ctx, s, marker); err != nil {
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
	// Names of rented machines are derived from revisions. The era keeps them unique although revisions
	// restart.
	in.format.Era = strconv.FormatInt(now.UnixMilli(), 36)
	format, err := json.Marshal(in.format)
	if err != nil {
		return end, err
	}
	return end, finishImport(ctx, s, format)
}

// readChanges reads a whole export and returns the last value, nil if deleted, of each key that changed
// during the export. These are few; the other records are not held in memory.
func readChanges(file io.Reader) (map[string][]byte, Trailer, error) {
	changed := map[string][]byte{}
	end, err := decode(file, func(f frame) error {
		for _, r := range f.Changes {
			changed[r.Key] = r.Value
		}
		return nil
	})
	return changed, end, err
}

// importer writes the records of an export in batches, except for the format record, which finishImport
// writes last.
type importer struct {
	batch      *ledger.Batch
	valueBytes int // maximum size of a value
	format     ledger.FormatRecord
}

// newImporter returns an importer that writes to s. It only creates keys.
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

// add adds a record to the batch, or keeps it if it is the format record.
func (in *importer) add(key string, value []byte) error {
	if key == ledger.FormatKey {
		return exactjson.Unmarshal(value, &in.format)
	}
	if len(value) > in.valueBytes {
		return fmt.Errorf("backup: value of %s has %d bytes, limit is %d", key, len(value), in.valueBytes)
	}
	return in.batch.Put(key, value)
}

// addBase reads the file a second time and adds the records that did not change during the export.
func (in *importer) addBase(file io.ReadSeeker, changed map[string][]byte) error {
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	_, err := decode(file, func(f frame) error {
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

// addChanged adds the records that changed during the export, ordered by key.
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

// beginImport writes the import marker, unless the marker of the same import exists already.
func beginImport(ctx context.Context, s Target, marker []byte) error {
	item, err := retry(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if err == nil {
		if !sameJSON(item.Value, marker) {
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
		Then: []wire.Change{{Put: ledger.ImportKey, Value: marker}},
	})
}

// finishImport writes the format record and deletes the import marker. From then on controllers use the
// records.
func finishImport(ctx context.Context, s Target, format []byte) error {
	item, err := retry(ctx, func() (wire.Item, error) { return s.Get(ctx, ledger.ImportKey) })
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil // an earlier call completed the import, but its response was lost
	}
	if err != nil {
		return err
	}
	return commitCreate(ctx, s, wire.Txn{
		If:   []wire.Condition{{Key: ledger.ImportKey, Version: item.Version}, {Key: ledger.FormatKey}},
		Then: []wire.Change{{Put: ledger.FormatKey, Value: format}, {Delete: ledger.ImportKey}},
	})
}

// commitCreate commits a transaction that creates keys and may delete others. A conflict is not an error
// if the keys already have the requested values, because a response was lost or an import is continued.
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
			return fmt.Errorf("%w: %s already exists with a different value", ErrNotEmpty, change.Put)
		}
	}
	return nil
}

// sameJSON reports whether two JSON documents have equal content.
func sameJSON(a, b []byte) bool {
	first, ok := canonicalJSON(a)
	second, ok2 := canonicalJSON(b)
	return ok && ok2 && first == second
}

// canonicalJSON returns a JSON document with its keys sorted, and false if it is invalid.
func canonicalJSON(document []byte) (string, bool) {
	var v any
	if exactjson.Unmarshal(document, &v) != nil {
		return "", false
	}
	b, err := json.Marshal(v)
	return string(b), err == nil
}
