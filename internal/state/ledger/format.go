package ledger

import (
	"fmt"
	"strconv"

	"maddermill/wire"
)

// The formats of records that this version reads and writes. Format 1 has no archive.
const (
	OldestFormat  = 1
	ArchiveFormat = 2
	GalleryFormat = 3 // jobs may be tied to galleries
	NewestFormat  = GalleryFormat
)

// FormatRecord tells which format the records are of. It only ever rises, once every
// controller says that it reads the new one.
type FormatRecord struct {
	Format int             `json:"n"`
	At     wire.UnixMillis `json:"at"`
	// Fresh: no controller that doesn't read the format had ever served here, so none of its
	// transactions can land late.
	Fresh bool `json:"fresh,omitempty"`
	// Era tells the names of rentals made here from those made before the records were
	// imported: revisions start anew then, and the cloud remembers names for ever.
	Era string `json:"era,omitempty"`
}

// Format returns the format of the records and its version. Without a record it is 1.
func (l *Ledger) Format() (FormatRecord, wire.Revision) {
	r := l.archived.format
	r.Format = max(r.Format, OldestFormat)
	return r, l.archived.formatVersion
}

// CheckFormat returns an error that wraps ErrFormat if this version doesn't read the records,
// or ErrImporting if they are not complete.
func (l *Ledger) CheckFormat() error {
	if l.archived.importing {
		return ErrImporting
	}
	if f, _ := l.Format(); f.Format > NewestFormat {
		return fmt.Errorf("%w: format %d, this one reads up to %d", ErrNewerFormat, f.Format, NewestFormat)
	}
	return nil
}

// UpgradeFormat makes the newest format that all controllers read the records' own.
func (txn *Transaction) UpgradeFormat(to int, at wire.UnixMillis) error {
	now, version := txn.ledger.Format()
	if to <= now.Format || to > NewestFormat {
		return refuse("upgrade format", strconv.Itoa(to))
	}
	return txn.atomically(func() error {
		txn.conditions[FormatKey] = version
		txn.conditions[TokenKey] = txn.ledger.tokenVersion
		r := FormatRecord{to, at, txn.ledger.token.Reads >= to, now.Era}
		if now.Format >= ArchiveFormat {
			// What lands late of a version before galleries is conditioned on the records that
			// it writes: nothing waits for it, and the archive's wait is not begun anew.
			r.At, r.Fresh = now.At, now.Fresh
		}
		txn.put(FormatKey, r)
		return nil
	})
}

// mayArchive: the records' format has an archive.
func (txn *Transaction) archiveEnabled() bool {
	f, _ := txn.ledger.Format()
	return f.Format >= ArchiveFormat
}
