// Package emulator holds stand-ins of the systems outside maddermill, written
// from their published protocols for tests: the state service, the cloud and
// the workers. They run in one process, on whatever clock the test gives them.
package emulator

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"maddermill/internal/state/kvstore"
	"maddermill/wire"
)

// Store stands in for the state service.
type Store struct {
	mu       sync.Mutex
	rev      wire.Revision
	items    map[string]wire.Item
	log      []wire.Event
	kept     int // how many changes of the log are kept
	moved    chan struct{}
	leases   map[wire.LeaseID]time.Time
	ttl      map[wire.LeaseID]time.Duration
	last     wire.LeaseID
	changed  int             // puts and deletes so far
	Blind    map[string]bool // condition keys with these prefixes are not checked: a broken guard
	TxnOps   int
	Value    int
	Problems []string          // requests beyond the limits
	Seen     func(wire.Change) // called with every put, if set
}

// NewStore returns an empty store.
func NewStore(txnOps, valueBytes int) *Store {
	return &Store{items: map[string]wire.Item{}, kept: 10_000, moved: make(chan struct{}),
		leases: map[wire.LeaseID]time.Time{}, ttl: map[wire.LeaseID]time.Duration{}, TxnOps: txnOps, Value: valueBytes}
}

// Apply runs a transaction at once.
func (s *Store) Apply(t wire.Txn) (wire.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(t.Then) > s.TxnOps || len(t.If) > 4*s.TxnOps {
		s.Problems = append(s.Problems, "transaction too large")
		return 0, kvstore.ErrInvalid
	}
	var failed []string
	for _, c := range t.If {
		blind := false
		for p := range s.Blind {
			blind = blind || strings.HasPrefix(c.Key, p)
		}
		if !blind && s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 0, &kvstore.ConflictError{Failed: failed, Revision: s.rev}
	}
	for _, c := range t.Then {
		if len(c.Value) > s.Value {
			s.Problems = append(s.Problems, "value too large: "+c.Put)
			return 0, kvstore.ErrInvalid
		}
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			return 0, kvstore.ErrLeaseNotFound
		}
	}
	if len(t.Then) > 0 {
		s.rev++
		s.changed += len(t.Then)
		for _, c := range t.Then {
			if c.Delete != "" {
				s.remove(c.Delete)
				continue
			}
			if s.Seen != nil {
				s.Seen(c)
			}
			v := slices.Clone(c.Value)
			s.items[c.Put] = wire.Item{Key: c.Put, Value: v, Version: s.rev, Lease: c.Lease}
			s.log = append(s.log, wire.Event{Put: c.Put, Value: v, Version: s.rev})
		}
		s.wake()
	}
	return s.rev, nil
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.log = append(s.log, wire.Event{Delete: key, Version: s.rev})
	}
}

func (s *Store) wake() {
	if n := len(s.log) - s.kept; n > 0 {
		s.log = s.log[n:]
	}
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Store) expire() {
	now := time.Now()
	gone := false
	for id, until := range s.leases {
		if now.After(until) {
			delete(s.leases, id)
			for k, it := range s.items {
				if it.Lease == id {
					if !gone {
						s.rev++
						gone = true
					}
					s.remove(k)
				}
			}
		}
	}
	if gone {
		s.wake()
	}
}

// Changed counts the puts and deletes that were asked for in transactions that were carried out.
func (s *Store) Changed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Forget drops the history, so that watches answer that they are too old.
func (s *Store) Forget() {
	s.mu.Lock()
	s.log = nil
	s.mu.Unlock()
}

// Extend gives every lease its full time, as after an outage.
func (s *Store) Extend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = time.Now().Add(s.ttl[id])
	}
}

// Items returns all that is kept, by key.
func (s *Store) Items() []wire.Item {
	return s.page("", "", math.MaxInt).Items
}

func (s *Store) page(prefix, after string, limit int) wire.ItemPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	p := wire.ItemPage{Revision: s.rev}
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

// changes returns what came after a revision, or a channel to wait on.
func (s *Store) changes(prefix string, after wire.Revision) (wire.Events, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ev := wire.Events{Revision: s.rev}
	if after < s.rev && (len(s.log) == 0 || s.log[0].Version > after+1) {
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
	return ev, s.moved, nil
}

// Link is one controller's way to the store, with its troubles.
type Link struct {
	Store  *Store
	mu     sync.Mutex
	rng    *rand.Rand
	down   bool
	frozen time.Time // until when its process stands still
	slow   time.Duration
	// Step, if set, is called before a transaction is sent and after it is applied.
	Step func(t wire.Txn, applied bool)
	// Late, if set, tells after what time a transaction is carried out that gets no answer; 0: it
	// is treated like any other.
	Late func(t wire.Txn) time.Duration
	// Loads, if set, is called when a reading of all records begins and after each page of it.
	Loads func(begins bool)
	// Pages is how many items a page has at the most; 0: few, so that there are many pages.
	Pages int
	// Copies has every transaction that was carried out arrive once more, some seconds later.
	Copies bool
	// lossy is the share of transactions whose answer is lost; half of those are applied
	// 2 to 12 s late, after newer ones.
	lossy float64
}

// NewLink returns a link whose troubles follow from the seed.
func NewLink(s *Store, seed uint64) *Link {
	return &Link{Store: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

// SetDown makes the link refuse everything, or ends that.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
}

// SetSlow has every request take so long on its way, and every answer.
func (l *Link) SetSlow(d time.Duration) {
	l.mu.Lock()
	l.slow = d
	l.mu.Unlock()
}

// SetLate sets Late while the link is in use.
func (l *Link) SetLate(late func(t wire.Txn) time.Duration) {
	l.mu.Lock()
	l.Late = late
	l.mu.Unlock()
}

func (l *Link) late() func(t wire.Txn) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Late
}

// SetLossy sets the share of transactions whose answer is lost.
func (l *Link) SetLossy(share float64) {
	l.mu.Lock()
	l.lossy = share
	l.mu.Unlock()
}

func (l *Link) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lossy
}

func (l *Link) roll() (down bool, luck float64, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay = time.Duration(1+l.rng.IntN(8)) * time.Millisecond
	if l.rng.IntN(50) == 0 {
		delay = 300 * time.Millisecond
	}
	delay += l.slow
	return l.down, l.rng.Float64(), delay
}

// Freeze holds back all that is sent and all that is answered over the link, however
// long the caller is ready to wait: its process stands still.
func (l *Link) Freeze(d time.Duration) {
	l.mu.Lock()
	l.frozen = time.Now().Add(d)
	l.mu.Unlock()
}

// Frozen is how long the link's process goes on standing still.
func (l *Link) Frozen() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.frozen)
}

// Thaw returns once the link's process runs.
func (l *Link) Thaw() {
	for d := l.Frozen(); d > 0; d = l.Frozen() {
		time.Sleep(d)
	}
}

func (l *Link) travel(ctx context.Context) error {
	l.Thaw()
	down, _, delay := l.roll()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return kvstore.ErrRefused
	}
	if down {
		return kvstore.ErrRefused
	}
	return nil
}

// Revision implements kvstore.Store.
func (l *Link) Revision(ctx context.Context) (wire.Revision, error) {
	p, err := l.List(ctx, "~", "", 1)
	return p.Revision, err
}

// Get implements kvstore.Store.
func (l *Link) Get(ctx context.Context, key string) (wire.Item, error) {
	if err := l.travel(ctx); err != nil {
		return wire.Item{}, err
	}
	l.Store.mu.Lock()
	defer l.Store.mu.Unlock()
	it, ok := l.Store.items[key]
	if !ok {
		return it, kvstore.ErrNotFound
	}
	return it, nil
}

// List implements kvstore.Store.
func (l *Link) List(ctx context.Context, prefix, after string, limit int) (wire.ItemPage, error) {
	if err := l.travel(ctx); err != nil {
		return wire.ItemPage{}, err
	}
	if l.Loads != nil && strings.Contains(prefix, "/") {
		l.Loads(after == "")
	}
	return l.Store.page(prefix, after, min(limit, max(l.Pages, 7))), nil
}

// Commit implements kvstore.Store. A lost answer leaves the caller in the dark; a
// lost request may be applied seconds later.
func (l *Link) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	defer l.Thaw()
	if l.Step != nil {
		l.Step(t, false)
		defer l.Step(t, true)
	}
	if err := l.travel(ctx); err != nil {
		return 0, err
	}
	if late := l.late(); late != nil {
		if after := late(t); after > 0 {
			l.applyLate(t, after)
			time.Sleep(time.Second)
			return 0, kvstore.ErrUnknown
		}
	}
	lossy := l.share()
	if _, luck, _ := l.roll(); luck < lossy {
		if part := luck / lossy; part < 0.5 {
			l.applyLate(t, 2*time.Second+time.Duration(part*20*float64(time.Second)))
		} else {
			_, _ = l.Store.Apply(t)
		}
		time.Sleep(time.Second)
		return 0, kvstore.ErrUnknown
	}
	if l.Copies {
		_, luck, _ := l.roll()
		l.applyLate(t, time.Duration(luck*20*float64(time.Second)))
	}
	return l.Store.Apply(t)
}

func (l *Link) applyLate(t wire.Txn, after time.Duration) {
	b, _ := json.Marshal(t)
	time.AfterFunc(after, func() {
		var late wire.Txn
		if json.Unmarshal(b, &late) == nil {
			_, _ = l.Store.Apply(late)
		}
	})
}

// AvailableChanges is without bound: the stand-in has no budget.
func (l *Link) AvailableChanges() int { return math.MaxInt }

// Watch implements kvstore.Store.
func (l *Link) Watch(
	ctx context.Context,
	prefix string,
	after wire.Revision,
	wait time.Duration,
) (wire.Events, error) {
	end := time.After(wait)
	defer l.Thaw()
	for {
		if err := l.travel(ctx); err != nil {
			return wire.Events{}, err
		}
		ev, moved, err := l.Store.changes(prefix, after)
		if err != nil || moved == nil {
			return ev, err
		}
		select {
		case <-moved:
		case <-time.After(time.Second): // leases may have run out
		case <-end:
			return ev, nil
		case <-ctx.Done():
			return ev, ctx.Err()
		}
	}
}

// GrantLease implements kvstore.Store.
func (l *Link) GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error) {
	if err := l.travel(ctx); err != nil {
		return 0, err
	}
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last], s.ttl[s.last] = time.Now().Add(ttl), ttl
	return s.last, nil
}

// RenewLease implements kvstore.Store.
func (l *Link) RenewLease(ctx context.Context, id wire.LeaseID) error {
	if err := l.travel(ctx); err != nil {
		return err
	}
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return kvstore.ErrLeaseNotFound
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	return nil
}
