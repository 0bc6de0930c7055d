package archiver

import (
	"context"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// maxPageAttempts limits the attempts to read a page of the filter. An attempt fails if the
	// records are reloaded meanwhile.
	maxPageAttempts = 3
	// flightKeyDigits is the number of leading hex digits of a position that concurrent page reads
	// must have in common to be merged into one request: such positions are most likely on the same
	// page.
	flightKeyDigits = 5
)

// mayBeArchived reports whether a job or workflow may be archived. name is its name in the filter.
// lookup is called with the records and reports whether the filter may contain the name, and whether
// the filter page of the name is in memory.
func (r *archiveReader) mayBeArchived(
	ctx context.Context,
	name string,
	lookup func(*ledger.Ledger) (may, known bool),
) (may bool, err error) {
	known, err := r.ensurePage(ctx, name, func(l *ledger.Ledger) (known bool) {
		may, known = lookup(l)
		return known
	})
	if err != nil {
		return false, err
	}
	return may || !known, nil // without the page, the archive has to be read
}

// ensurePage reads the filter page of a name unless known reports that the ledger already has it. From
// then on the ledger updates the page as jobs are archived. It returns false if the records were
// reloaded during every attempt.
func (r *archiveReader) ensurePage(
	ctx context.Context,
	name string,
	known func(*ledger.Ledger) bool,
) (bool, error) {
	position := archive.Position(name)
	for range maxPageAttempts {
		var records *ledger.Ledger
		var since uint64
		var ok bool
		r.host.Read(func(l *ledger.Ledger) {
			records, since = l, l.FilterAdditions()
			ok = known(l)
		})
		if ok {
			return true, nil
		}
		read := r.inFlight.DoChan(archive.PageName(position)[:flightKeyDigits], func() (any, error) {
			return nil, r.readPage(ctx, position, records, since)
		})
		select {
		case result := <-read:
			if result.Err != nil {
				return false, result.Err
			}
		case <-ctx.Done():
			return false, ErrUnavailable
		}
	}
	return false, nil
}

// readPage reads the filter page that contains a position and adds it to the records, unless they were
// reloaded meanwhile. since is the result of FilterAdditions from before the read.
func (r *archiveReader) readPage(ctx context.Context, position uint32, records *ledger.Ledger, since uint64) error {
	page, version := archive.EmptyPage(), wire.Revision(0)
	list, err := rateLimited(ctx, r, func(ctx context.Context) (wire.ItemPage, error) {
		return r.store.List(ctx, ledger.FilterPrefix, ledger.FilterKey(position), 1)
	})
	if err != nil {
		return err
	}
	if len(list.Items) > 0 {
		version = list.Items[0].Version
		if err := exactjson.Unmarshal(list.Items[0].Value, page); err != nil {
			return err
		}
	}
	r.host.Read(func(l *ledger.Ledger) {
		if l == records { // reloaded records may lack additions made since
			l.PutFilterPage(page, version, since)
		}
	})
	return nil
}
