package archiver

import (
	"context"
	"encoding/json"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

const (
	// pageAttempts is how often a page of the filter is read when the records are reloaded
	// meanwhile.
	pageAttempts = 3
	// sharedDigits is how many leading digits of their pages' names two names have in common
	// whose pages are read in one request: they are most likely on one page.
	sharedDigits = 5
)

// mayBeArchived reports whether a job, or a workflow, may be archived. name is its name in the
// filter. lookup is called with the records and reports whether the filter lets the name pass, and
// whether the page of the filter with the name is known.
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
	return may || !known, nil // where the page could not be had, the archive itself decides
}

// ensurePage reads the page of the filter with a name unless known reports that the ledger has it;
// from then on the ledger updates it as jobs are archived. It returns false if the records were
// reloaded during each of its attempts.
func (r *archiveReader) ensurePage(
	ctx context.Context,
	name string,
	known func(*ledger.Ledger) bool,
) (bool, error) {
	position := archive.Position(name)
	for range pageAttempts {
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
		read := r.inFlight.DoChan(archive.PageName(position)[:sharedDigits], func() (any, error) {
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

// readPage reads the page of the filter with a position and puts it into the records, unless they
// were reloaded meanwhile. since is the number of the filter's additions before the read.
func (r *archiveReader) readPage(ctx context.Context, position uint32, records *ledger.Ledger, since uint64) error {
	page, version := archive.FirstPage(), wire.Revision(0)
	list, err := paced(ctx, r, func(ctx context.Context) (wire.ItemPage, error) {
		return r.store.List(ctx, ledger.FilterPrefix, ledger.FilterKey(position), 1)
	})
	if err != nil {
		return err
	}
	if len(list.Items) > 0 {
		version = list.Items[0].Version
		if err := json.Unmarshal(list.Items[0].Value, page); err != nil {
			return err
		}
	}
	r.host.Read(func(l *ledger.Ledger) {
		if l == records { // reloaded records may lack additions since
			l.PutFilterPage(page, version, since)
		}
	})
	return nil
}
