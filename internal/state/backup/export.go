package backup

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Source is the part of the state service's interface that is needed to read it.
type Source interface {
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	Watch(ctx context.Context, prefix string, after wire.Revision, wait time.Duration) (wire.Events, error)
}

const (
	// pageItems is the maximum number of keys on a page.
	pageItems = 1000
	// maxAttempts limits how often a request is sent that is refused or whose outcome is unknown.
	maxAttempts = 20
	// retryDelay is added to the delay before each further attempt.
	retryDelay = 100 * time.Millisecond
)

// retry repeats f while the state service refuses the request or its outcome is unknown, at most
// maxAttempts times. f must be safe to repeat.
func retry[T any](ctx context.Context, f func() (T, error)) (T, error) {
	for n := 1; ; n++ {
		v, err := f()
		retryable := errors.Is(err, kvstore.ErrRefused) || errors.Is(err, kvstore.ErrUnknown)
		if err == nil || n == maxAttempts || !retryable {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-time.After(time.Duration(n) * retryDelay):
		}
	}
}

// ReadAll reads all records with a prefix at one revision, while they may change. It calls base with
// every page of records, and changed with the changes that were made while the pages were read, in
// order. Together they are the records at the returned revision: the value of a key is that of its last
// change or, without a change, the one passed to base. Keys that only describe the running controllers
// (those with a lease, and transient ones) are omitted.
func ReadAll(
	ctx context.Context,
	s Source,
	prefix string,
	base func([]wire.Item) error,
	changed func([]wire.Event) error,
) (wire.Revision, error) {
	var revision wire.Revision // up to which changes have been read
	after := ""
	for first := true; ; first = false {
		page, err := retry(ctx, func() (wire.ItemPage, error) { return s.List(ctx, prefix, after, pageItems) })
		if err != nil {
			return 0, err
		}
		if first {
			revision = page.Revision
		}
		if err := base(durableItems(page.Items)); err != nil {
			return 0, err
		}
		// The state service retains changes only for a short time, so they are read after each page.
		changes, err := retry(ctx, func() (wire.Events, error) { return s.Watch(ctx, prefix, revision, 0) })
		if err != nil {
			return 0, err
		}
		revision = max(revision, changes.Revision)
		if events := durableEvents(changes.Events); len(events) > 0 {
			if err := changed(events); err != nil {
				return 0, err
			}
		}
		if !page.More || len(page.Items) == 0 {
			return revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// durableItems returns the items that belong to the records.
func durableItems(items []wire.Item) []wire.Item {
	var durable []wire.Item
	for _, item := range items {
		if item.Lease == 0 && !ledger.Transient(item.Key) {
			durable = append(durable, item)
		}
	}
	return durable
}

// durableEvents returns the events that change the records. It modifies events in place.
func durableEvents(events []wire.Event) []wire.Event {
	return slices.DeleteFunc(events, func(e wire.Event) bool { return ledger.Transient(e.Put + e.Delete) })
}

// Export writes all records at one revision to w.
func Export(ctx context.Context, s Source, w io.Writer, now time.Time) (Trailer, error) {
	out, err := newStreamWriter(w)
	if err != nil {
		return Trailer{}, err
	}
	revision, err := ReadAll(ctx, s, ledger.AllPrefix, out.writeBase, out.writeChanges)
	if err != nil {
		return Trailer{}, err
	}
	return out.close(revision, wire.UnixMillis(now.UnixMilli()))
}

// writeBase writes a page of records in one or more frames.
func (w *streamWriter) writeBase(items []wire.Item) error {
	size := func(item wire.Item) int { return len(item.Key) + len(item.Value) }
	for part := range splitFrames(items, size) {
		var f frame
		for _, item := range part {
			f.Base = append(f.Base, Record{item.Key, item.Value})
		}
		if err := w.write(f); err != nil {
			return err
		}
	}
	return nil
}

// writeChanges writes changes that were made while the pages were read, in one or more frames.
func (w *streamWriter) writeChanges(events []wire.Event) error {
	size := func(e wire.Event) int { return len(e.Put) + len(e.Delete) + len(e.Value) }
	for part := range splitFrames(events, size) {
		var f frame
		for _, e := range part {
			if e.Delete != "" {
				f.Changes = append(f.Changes, Record{Key: e.Delete})
			} else {
				f.Changes = append(f.Changes, Record{e.Put, e.Value})
			}
		}
		if err := w.write(f); err != nil {
			return err
		}
	}
	return nil
}

// splitFrames divides a list into parts of at most half the maximum frame size. A larger element becomes
// a part of its own.
func splitFrames[T any](list []T, size func(T) int) func(yield func([]T) bool) {
	return func(yield func([]T) bool) {
		start, sum := 0, 0
		for i, v := range list {
			if n := size(v); sum+n > maxFrameBytes/2 && i > start {
				if !yield(list[start:i]) {
					return
				}
				start, sum = i, 0
			}
			sum += size(v)
		}
		if start < len(list) {
			yield(list[start:])
		}
	}
}
