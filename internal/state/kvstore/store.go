// Package kvstore is the client of the state service: reads, transactions, leases and watches, within
// this controller's share of the service's limits of requests and changes.
//
// # Types
//
// [Store] is what the rest of the controller needs of the service; [Client] implements it over HTTP.
// Errors wrap one of the sentinel errors below, or are a [ConflictError]; compare them by errors.Is and
// errors.As. Their messages name the operation, its object and the reason.
//
// # Locking and goroutines
//
// A Client may be used by any number of goroutines at once. It has no lock of its own, its rate
// limiters and connections do, and it starts no goroutines. Each call waits in its caller's: for the
// limits, then for the answer.
//
// # Invariants
//
//   - A request is sent at most once. A transaction that failed with ErrUnknown may have been executed,
//     or may yet be; only its caller can tell whether it may be made again.
//   - A request that failed with ErrRefused was not executed and never will be.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"maddermill/wire"
)

// Errors of the state service. They are wrapped with the operation and its object.
var (
	// ErrRefused is the error of a request that was not executed and will not be.
	ErrRefused = errors.New("refused, not executed")
	// ErrUnknown is the error of a request that may have been executed, or may yet be.
	ErrUnknown = errors.New("no answer, outcome unknown")
	// ErrNotFound is the error of Get for a key that does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrUnreachable is the error of a wait for the service that ended without an answer.
	ErrUnreachable = errors.New("state service unreachable")
	// ErrRevisionCompacted is the error of Watch after a revision whose changes the service no longer has.
	ErrRevisionCompacted = errors.New("revision too old to watch from")
	// ErrLeaseNotFound is the error for a lease that has expired or never was.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrInvalid is the error of a request that the service does not accept.
	ErrInvalid = errors.New("request not accepted")

	// errBusy is the reason of an ErrRefused that comes of the service's limits.
	errBusy = errors.New("service over its limits")
)

// ConflictError is the error of a transaction whose conditions did not hold. It was not executed.
type ConflictError struct {
	Failed   []string      // the keys whose conditions failed
	Revision wire.Revision // of the records that they failed on
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("state: commit: conditions failed on %v at revision %d", e.Failed, e.Revision)
}

// Store is the state service, as the rest of the controller needs it.
type Store interface {
	// Revision reads the service's revision: all that was committed before the call is at or below it.
	Revision(ctx context.Context) (wire.Revision, error)
	// Get reads one key. Its error wraps ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (wire.Item, error)
	// List reads at most limit items whose keys have a prefix and come after a key, in the order of keys.
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	// Commit executes a transaction and returns its revision. Its error is a ConflictError if the
	// conditions did not hold.
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
	// AvailableChanges returns how many changes a transaction may have without waiting for the budget.
	AvailableChanges() int
	// Watch waits, at most for a duration, for changes of keys with a prefix after a revision. Its error
	// wraps ErrRevisionCompacted if the service no longer has all of them.
	Watch(ctx context.Context, prefix string, after wire.Revision, wait time.Duration) (wire.Events, error)
	// GrantLease grants a lease that ends unless it is renewed within a duration.
	GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error)
	// RenewLease renews a lease. Its error wraps ErrLeaseNotFound if it has ended.
	RenewLease(ctx context.Context, id wire.LeaseID) error
}

// TxnBytes bounds the encoded size of a transaction: below the service's 64 KiB, with room for framing.
const TxnBytes = 60 << 10
