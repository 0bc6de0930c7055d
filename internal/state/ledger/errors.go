package ledger

import "errors"

// Errors of transitions. The call that returned one added no change to the
// transaction.
var (
	// ErrTransactionFull says that the change does not fit into this transaction any more; it may
	// fit into a later one.
	ErrTransactionFull = errors.New("ledger: transaction full")
	// ErrPreconditionFailed says that the records do not, or no longer, allow the transition. The
	// transitions of tasks (claims and releases), which fail often and are retried, return it
	// as it is. All others return a *PreconditionError, which errors.Is matches with it.
	ErrPreconditionFailed = errors.New("ledger: precondition failed")
	// ErrTooLarge says that a record, or a change by itself, would exceed the store's limits.
	ErrTooLarge = errors.New("ledger: record too large")
	// ErrNoPage says that a page of the archive's filter must be read first; see PutFilterPage.
	ErrNoPage = errors.New("ledger: a page of the filter is not known")
	// ErrUnknownDependency says that a job names one that is not on record.
	ErrUnknownDependency = errors.New("ledger: names a job that is not on record")
	// ErrOlderFormat says that the records' format does not know what a change needs yet.
	ErrOlderFormat = errors.New("ledger: not before all controllers have the new version")
	// ErrTooManyDependencies says that a job names more others than its record has room for.
	ErrTooManyDependencies = errors.New("names more jobs than can be kept")
	// ErrManyDates says that a gallery's date was changed as often as its record has room for.
	ErrManyDates = errors.New("ledger: the date was changed too often")
)

// Errors of records that this version must not serve from.
var (
	// ErrNewerFormat says that the records are of a format that this version does not read.
	ErrNewerFormat = errors.New("ledger: records of a newer version")
	// ErrImporting says that an import is not complete.
	ErrImporting = errors.New("ledger: records are being imported")
)

// Errors of policy changes. Their text is shown to operators.
var (
	// ErrInUse says that a module can't be removed.
	ErrInUse = errors.New("the module is in use, or about to be")
	// ErrNoPreviousPolicy says that a rollback has no target.
	ErrNoPreviousPolicy = errors.New("nothing to go back to")
	// ErrSwapping says that a policy swap is not complete.
	ErrSwapping = errors.New("another change is under way")
)

// PreconditionError is an ErrPreconditionFailed with the transition and the record that refused it.
type PreconditionError struct {
	Operation string // for instance "archive workflow"
	Record    string // the name of the record, for instance a workflow's id
}

// Error returns the operation, the record and the reason.
func (e *PreconditionError) Error() string {
	return "ledger: " + e.Operation + " " + e.Record + ": precondition failed"
}

// Is reports whether target is ErrPreconditionFailed.
func (e *PreconditionError) Is(target error) bool { return target == ErrPreconditionFailed }

// refuse returns the error of a transition that a record does not allow.
func refuse[Name ~string](operation string, record Name) error {
	return &PreconditionError{Operation: operation, Record: string(record)}
}
