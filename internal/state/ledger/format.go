package ledger

import (
	"fmt"
	"strconv"

	"maddermill/wire"
)

// The record formats that this version reads and writes.
const (
	OldestFormat  = 1
	ArchiveFormat = 2 // finished jobs and workflows are archived
	GalleryFormat = 3 // jobs may belong to galleries
	// PipelineFormat adds jobs that depend on others, and parts of task ranges (see division.go).
	PipelineFormat = 4
	NewestFormat   = PipelineFormat
)

// FormatRecord is the record of the current format. It only increases, once every controller reads the new
// format.
type FormatRecord struct {
	Format int             `json:"n"`
	At     wire.UnixMillis `json:"at"` // when the format was upgraded to one with an archive
	// NoOlderWriters means that every controller that ever served these records reads the format, so that there
	// is no need to wait for a late transaction of an older version.
	NoOlderWriters bool `json:"fresh,omitempty"`
	// Range is the default number of tasks that share a record, for jobs whose record does not have one.
	// It is set from PipelineFormat on.
	Range int `json:"range,omitempty"`
	// Era is part of the names of scale-out requests. An import changes it: revisions restart then,
	// while the cloud never forgets a name.
	Era string `json:"era,omitempty"`
}

// Format returns the format of the records and the version of the format's record. Without such a record
// it is OldestFormat at version 0.
func (l *Ledger) Format() (FormatRecord, wire.Revision) {
	r := l.archived.format
	r.Format = max(r.Format, OldestFormat)
	return r, l.archived.formatVersion
}

// CheckFormat returns an error that wraps ErrNewerFormat if this version can't read the records, or
// ErrImporting if an import is not complete.
func (l *Ledger) CheckFormat() error {
	if l.archived.importing {
		return ErrImporting
	}
	if f, _ := l.Format(); f.Format > NewestFormat {
		return fmt.Errorf("%w: format %d, newest supported format %d", ErrNewerFormat, f.Format, NewestFormat)
	}
	return nil
}

// UpgradeFormat upgrades the format. The caller must have checked that every controller reads it.
func (txn *Transaction) UpgradeFormat(to int, at wire.UnixMillis) error {
	current, version := txn.ledger.Format()
	if to <= current.Format || to > NewestFormat {
		return newPreconditionError("upgrade format", strconv.Itoa(to))
	}
	return txn.atomically(func() error {
		txn.conditions[FormatKey] = version
		txn.conditions[TokenKey] = txn.ledger.tokenVersion
		r := FormatRecord{Format: to, At: at, NoOlderWriters: txn.ledger.token.CommonFormat >= to, Era: current.Era}
		if to >= PipelineFormat {
			r.Range = txn.ledger.usualRange()
		}
		if current.Format >= ArchiveFormat {
			// A version that knows the archive but not galleries puts conditions on the records that it
			// writes, so a late transaction of it does no harm: archiving need not wait again.
			r.At, r.NoOlderWriters = current.At, current.NoOlderWriters
		}
		txn.put(FormatKey, r)
		return nil
	})
}

// archiveEnabled reports whether the format of the records supports the archive.
func (txn *Transaction) archiveEnabled() bool {
	f, _ := txn.ledger.Format()
	return f.Format >= ArchiveFormat
}
