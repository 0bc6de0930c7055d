// Package emulator holds in-process emulators of the external systems of maddermill,
// written from their published protocols, for tests and for cmd/standin:
//
//   - Store and Link: the state service, and one controller's connection to it with
//     injected faults (outages, lost responses, late and duplicated transactions, pauses).
//   - Cloud: the cloud provider's scale-out, scale-in and eventually consistent machine list.
//   - World and Machine: the workers, and the ground truth of which task runs on which
//     machine, which detects violations of the protocol's rules.
//   - Balancer: the users' load balancer with its health checks.
//
// All of them use package time, so that tests may run them under a fake clock. Random
// faults are drawn from a seed: the number and order of the draws of a Link or Balancer
// must not change, as tests with fixed seeds depend on them.
//
// Locking: Cloud.mu is taken before Machine.mu, and Machine.mu before World.mu. Store.OnPut
// is called under the store's lock, and World.Finished, Fails and Fetch and Machine.Run
// under World.mu. Under a fake clock no goroutine may sleep while it holds a lock.
//
// This package is not part of the product, and its state is kept in memory only.
package emulator

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/wire"
)

// SetLimits changes the limits of transactions and values. Items beyond the new limits are kept.
func (s *Store) SetLimits(txnOps, valueBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.TxnOps, s.Value = txnOps, valueBytes
}

// logLimit is the number of events that the store keeps for watches.
const logLimit = 10_000

// Store emulates the data of the state service: versioned items, leases, and an event log
// of bounded length. Controllers access it through a Link.
type Store struct {
	// UncheckedPrefixes holds key prefixes for which transaction conditions are not checked. Tests use it to
	// show that they detect writes without a working precondition.
	UncheckedPrefixes map[string]bool
	// TxnOps is the maximum number of changes in a transaction; conditions may be four times as many.
	TxnOps int
	// Value is the maximum size of a value in bytes.
	Value int
	// Problems lists the requests that exceeded a limit.
	Problems []string
	// OnPut, if set, is called with every put, under the store's lock.
	OnPut func(wire.Change)

	mu sync.Mutex // guards the fields below, UncheckedPrefixes and Problems

	revision    wire.Revision
	items       map[string]wire.Item
	log         []wire.Event               // the latest events, at most logLimit
	logChanged  chan struct{}              // closed and replaced whenever events are appended
	leases      map[wire.LeaseID]time.Time // expiry times
	leaseTTL    map[wire.LeaseID]time.Duration
	lastLease   wire.LeaseID
	changeCount int // puts and deletes in all applied transactions
}

// NewStore returns an empty store with the given limits.
func NewStore(txnOps, valueBytes int) *Store {
	return &Store{
		TxnOps:     txnOps,
		Value:      valueBytes,
		items:      map[string]wire.Item{},
		logChanged: make(chan struct{}),
		leases:     map[wire.LeaseID]time.Time{},
		leaseTTL:   map[wire.LeaseID]time.Duration{},
	}
}

// Apply applies a transaction atomically and returns the revision after it. It fails with
// kvstore.ErrInvalid if a limit is exceeded, with a *kvstore.ConflictError if conditions
// don't hold, and with kvstore.ErrLeaseNotFound if a put names an expired lease.
func (s *Store) Apply(t wire.Txn) (wire.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if len(t.Then) > s.TxnOps || len(t.If) > 4*s.TxnOps {
		s.Problems = append(s.Problems, "transaction too large")
		return 0, kvstore.ErrInvalid
	}
	if failed := s.failedConditions(t.If); failed != nil {
		return 0, &kvstore.ConflictError{Failed: failed, Revision: s.revision}
	}
	if err := s.checkChanges(t.Then); err != nil {
		return 0, err
	}
	if len(t.Then) > 0 {
		s.applyChanges(t.Then)
	}
	return s.revision, nil
}

// failedConditions returns the keys whose version is not the expected one. s.mu is held.
func (s *Store) failedConditions(conditions []wire.Condition) (failed []string) {
	for _, c := range conditions {
		if s.items[c.Key].Version != c.Version && !s.isUnchecked(c.Key) {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// isUnchecked reports whether conditions on a key are ignored. s.mu is held.
func (s *Store) isUnchecked(key string) bool {
	for prefix := range s.UncheckedPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// checkChanges checks the values' sizes and the leases of a transaction. s.mu is held.
func (s *Store) checkChanges(changes []wire.Change) error {
	for _, c := range changes {
		if len(c.Value) > s.Value {
			s.Problems = append(s.Problems, "value too large: "+c.Put)
			return kvstore.ErrInvalid
		}
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			return kvstore.ErrLeaseNotFound
		}
	}
	return nil
}

// applyChanges applies the changes of a transaction under one new revision. s.mu is held.
func (s *Store) applyChanges(changes []wire.Change) {
	s.revision++
	s.changeCount += len(changes)
	for _, c := range changes {
		if c.Delete != "" {
			s.remove(c.Delete)
			continue
		}
		if s.OnPut != nil {
			s.OnPut(c)
		}
		v := slices.Clone(c.Value)
		s.items[c.Put] = wire.Item{Key: c.Put, Value: v, Version: s.revision, Lease: c.Lease}
		s.log = append(s.log, wire.Event{Put: c.Put, Value: v, Version: s.revision})
	}
	s.notifyWatches()
}

// remove deletes an item, if it exists, at the current revision. s.mu is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.log = append(s.log, wire.Event{Delete: key, Version: s.revision})
	}
}

// notifyWatches truncates the log to its limit and wakes blocked watches. s.mu is held.
func (s *Store) notifyWatches() {
	if n := len(s.log) - logLimit; n > 0 {
		s.log = s.log[n:]
	}
	close(s.logChanged)
	s.logChanged = make(chan struct{})
}

// expireLeases removes the expired leases and their items, all under one new revision. s.mu is held.
func (s *Store) expireLeases() {
	now := time.Now()
	removed := false
	for id, expiry := range s.leases {
		if !now.After(expiry) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease != id {
				continue
			}
			if !removed {
				s.revision++
				removed = true
			}
			s.remove(key)
		}
	}
	if removed {
		s.notifyWatches()
	}
}

// Changed returns the number of puts and deletes in all applied transactions.
func (s *Store) Changed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeCount
}

// Forget compacts the entire log, so that watches from older revisions fail with
// kvstore.ErrRevisionCompacted.
func (s *Store) Forget() {
	s.mu.Lock()
	s.log = nil
	s.mu.Unlock()
}

// Extend renews all leases for their full TTL, as the state service does after an outage.
func (s *Store) Extend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = time.Now().Add(s.leaseTTL[id])
	}
}

// Items returns all items, ordered by key.
func (s *Store) Items() []wire.Item {
	return s.page("", "", math.MaxInt).Items
}

// page returns at most limit items with a prefix whose keys follow after, ordered by key.
func (s *Store) page(prefix, after string, limit int) wire.ItemPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	p := wire.ItemPage{Revision: s.revision}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > limit {
		keys, p.More = keys[:limit], true
	}
	for _, k := range keys {
		p.Items = append(p.Items, s.items[k])
	}
	return p
}

// changes returns the events for keys with a prefix after a revision. If there are none, it returns
// a channel that is closed with the next event of any key. If events after the revision were
// compacted, it fails with kvstore.ErrRevisionCompacted.
func (s *Store) changes(prefix string, after wire.Revision) (wire.Events, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	ev := wire.Events{Revision: s.revision}
	if after < s.revision && (len(s.log) == 0 || s.log[0].Version > after+1) {
		return ev, nil, kvstore.ErrRevisionCompacted
	}
	for _, e := range s.log {
		if e.Version > after &&
			(strings.HasPrefix(e.Put, prefix) && e.Put != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "") {
			ev.Events = append(ev.Events, e)
		}
	}
	if len(ev.Events) > 0 {
		return ev, nil, nil
	}
	return ev, s.logChanged, nil
}
