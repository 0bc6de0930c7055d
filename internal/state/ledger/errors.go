package ledger

import "errors"

// Errors of transitions. A call that returns one has added no change to the transaction.
var (
	// ErrTransactionFull means that the change does not fit into this transaction; it may fit into a
	// later one.
	ErrTransactionFull = errors.New("ledger: transaction full")
	// ErrPreconditionFailed means that the records do not, or no longer, allow the transition. Claims
	// and releases of tasks, which fail often and are retried, return it directly. All other
	// transitions return a *PreconditionError, which errors.Is matches with it.
	ErrPreconditionFailed = errors.New("ledger: precondition failed")
	// ErrTooLarge means that a record, or a change by itself, would exceed the store's limits.
	ErrTooLarge = errors.New("ledger: record too large")
	// ErrFilterPageNotLoaded means that a page of the archive's filter must be read first; see PutFilterPage.
	ErrFilterPageNotLoaded = errors.New("ledger: filter page not loaded")
	// ErrUnknownDependency means that a job depends on one that is neither on record nor known to be
	// archived.
	ErrUnknownDependency = errors.New("ledger: dependency is not on record")
	// ErrOlderFormat means that the current format of the records does not support the change yet.
	ErrOlderFormat = errors.New("ledger: record format too old: not all controllers run the new version")
	// ErrTooManyDependencies means that a job has more dependencies than its record has room for. The
	// text is part of an API response.
	ErrTooManyDependencies = errors.New("names more jobs than can be kept")
	// ErrDateLimit means that a gallery's record has no room for another change of its date.
	ErrDateLimit = errors.New("ledger: too many date changes of a gallery")
)

// Errors of records that this version must not serve from.
var (
	// ErrNewerFormat means that the records have a format that this version does not support.
	ErrNewerFormat = errors.New("ledger: unsupported newer record format")
	// ErrImporting means that an import of records is not complete.
	ErrImporting = errors.New("ledger: import of records in progress")
)

// Errors of policy changes. Their text is shown to operators.
var (
	// ErrModuleInUse means that a module can't be removed because it is the current or the next policy.
	ErrModuleInUse = errors.New("the module is the current or the next policy")
	// ErrNoPreviousPolicy means that there is no policy to roll back to.
	ErrNoPreviousPolicy = errors.New("nothing to go back to")
	// ErrSwapInProgress means that another policy swap is not complete.
	ErrSwapInProgress = errors.New("another policy change is in progress")
)

// PreconditionError is an ErrPreconditionFailed that names the transition and the record that does not
// allow it.
type PreconditionError struct {
	Operation string // for example "archive workflow"
	Record    string // the name of the record, for example a workflow ID
}

// Error returns a message with the operation, the record and the reason.
func (e *PreconditionError) Error() string {
	return "ledger: " + e.Operation + " " + e.Record + ": precondition failed"
}

// Is reports whether target is ErrPreconditionFailed.
func (e *PreconditionError) Is(target error) bool { return target == ErrPreconditionFailed }

// newPreconditionError returns the error for a transition that a record does not allow.
func newPreconditionError[Name ~string](operation string, record Name) error {
	return &PreconditionError{Operation: operation, Record: string(record)}
}
