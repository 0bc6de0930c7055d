package ledger

import (
	"fmt"
	"strconv"

	"maddermill/wire"
)

// The formats of records that this version reads and writes.
const (
	OldestFormat  = 1
	ArchiveFormat = 2 // finished jobs and workflows are archived
	GalleryFormat = 3 // jobs may belong to galleries
	// PipelineFormat has jobs that wait for others, and parts of ranges.
	PipelineFormat = 4
	NewestFormat   = PipelineFormat
)

// FormatRecord is the format of the records. It only rises, once every controller reads the new one.
type FormatRecord struct {
	Format int             `json:"n"`
	At     wire.UnixMillis `json:"at"` // when the format rose to one with an archive
	// Fresh says that every controller that ever served these records reads the format, so that no
	// late transaction of an older version has to be waited for.
	Fresh bool `json:"fresh,omitempty"`
	// Range is how many tasks share a record that does not say, from PipelineFormat on.
	Range int `json:"range,omitempty"`
	// Era is part of the names of scale-out requests. It differs from that before an import: revisions
	// start again then, and the cloud remembers names for ever.
	Era string `json:"era,omitempty"`
}

// Format returns the format of the records and the version of its record. Without a record it is
// OldestFormat at version 0.
func (l *Ledger) Format() (FormatRecord, wire.Revision) {
	r := l.archived.format
	r.Format = max(r.Format, OldestFormat)
	return r, l.archived.formatVersion
}

// CheckFormat returns an error that wraps ErrNewerFormat if this version doesn't read the records, or
// ErrImporting if they are not complete.
func (l *Ledger) CheckFormat() error {
	if l.archived.importing {
		return ErrImporting
	}
	if f, _ := l.Format(); f.Format > NewestFormat {
		return fmt.Errorf("%w: format %d, this one reads up to %d", ErrNewerFormat, f.Format, NewestFormat)
	}
	return nil
}

// UpgradeFormat raises the format. The caller has made sure that every controller reads it.
func (txn *Transaction) UpgradeFormat(to int, at wire.UnixMillis) error {
	current, version := txn.ledger.Format()
	if to <= current.Format || to > NewestFormat {
		return refuse("upgrade format", strconv.Itoa(to))
	}
	return txn.atomically(func() error {
		txn.conditions[FormatKey] = version
		txn.conditions[TokenKey] = txn.ledger.tokenVersion
		r := FormatRecord{Format: to, At: at, Fresh: txn.ledger.token.Reads >= to, Era: current.Era}
		if to >= PipelineFormat {
			r.Range = txn.ledger.usualRange()
		}
		if current.Format >= ArchiveFormat {
			// A late transaction of a version before galleries is conditioned on the records that it
			// writes: nothing has to wait for it, and the archive's wait does not start again.
			r.At, r.Fresh = current.At, current.Fresh
		}
		txn.put(FormatKey, r)
		return nil
	})
}

// archiveEnabled reports whether the format of the records has an archive.
func (txn *Transaction) archiveEnabled() bool {
	f, _ := txn.ledger.Format()
	return f.Format >= ArchiveFormat
}
