// Package kvstore is a client of the state service, a key-value store with transactions, leases
// and watches. It keeps within this controller's share of the service's rate limits, which count requests
// and changes. A change is one put or delete of a transaction (wire.Change).
//
// # Types
//
// [Store] is the interface of the service that the rest of the controller uses; [Client] implements it over
// HTTP. Errors wrap one of the sentinel errors below or are a [ConflictError]; test them with errors.Is and
// errors.As. Their messages name the operation, its object and the reason.
//
// # Locking and goroutines
//
// A Client is safe for concurrent use. It has no lock of its own, only its rate limiters and connections
// have, and it starts no goroutines. Each call blocks its caller: first for the rate limits, then for the
// response.
//
// # Invariants
//
//   - A request is sent at most once. A transaction that failed with ErrUnknown may have been executed or
//     may still be executed later; only the caller can decide whether it is safe to retry.
//   - A request that failed with ErrRefused was not executed and never will be.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"maddermill/wire"
)

// Errors of the state service. Methods return them wrapped with the operation and its object.
var (
	// ErrRefused means that the request was not executed and will not be.
	ErrRefused = errors.New("request not executed")
	// ErrUnknown means that the request may have been executed or may still be executed.
	ErrUnknown = errors.New("no valid response, outcome unknown")
	// ErrNotFound is returned by Get for a key that does not exist.
	ErrNotFound = errors.New("no such key")
	// ErrUnreachable means that waiting for the service ended without a result. The users of a Store return
	// it; Client does not.
	ErrUnreachable = errors.New("state service unreachable")
	// ErrRevisionCompacted is returned by Watch if the service no longer has the changes after the revision.
	ErrRevisionCompacted = errors.New("changes after the revision have been compacted")
	// ErrLeaseNotFound means that a lease has expired or was never granted.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrInvalid means that the request can't be encoded or that the response has an unexpected status, as
	// for a malformed request.
	ErrInvalid = errors.New("invalid request")

	// errRateLimited is the reason for an ErrRefused when the service's rate limits are exceeded.
	errRateLimited = errors.New("rate limit exceeded")
)

// ConflictError means that a transaction was not executed because some of its conditions did not hold.
type ConflictError struct {
	Failed   []string      // keys whose conditions failed
	Revision wire.Revision // revision at which the conditions were evaluated
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("state: commit: conditions failed on %v at revision %d", e.Failed, e.Revision)
}

// Store is the interface of the state service that the rest of the controller uses.
type Store interface {
	// Revision reads the service's current revision. Everything committed before the call is at or below it.
	Revision(ctx context.Context) (wire.Revision, error)
	// Get reads one key. Its error wraps ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (wire.Item, error)
	// List reads at most limit items whose keys have a prefix and sort after a key, in the order of keys.
	List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error)
	// Commit executes a transaction and returns its revision. Its error is a ConflictError if the
	// conditions did not hold.
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
	// AvailableChanges returns how many changes can be committed now without waiting for the rate limit.
	AvailableChanges() int
	// Watch waits, for at most the given duration, for changes after a revision to keys with a prefix. Its
	// error wraps ErrRevisionCompacted if the service no longer has all of these changes.
	Watch(ctx context.Context, prefix string, after wire.Revision, wait time.Duration) (wire.Events, error)
	// GrantLease grants a lease that expires unless it is renewed within ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error)
	// RenewLease renews a lease. Its error wraps ErrLeaseNotFound if the lease has expired.
	RenewLease(ctx context.Context, id wire.LeaseID) error
}

// MaxTxnBytes is the maximum encoded size of a transaction: below the service's limit of 64 KiB, with room for
// framing.
const MaxTxnBytes = 60 << 10
