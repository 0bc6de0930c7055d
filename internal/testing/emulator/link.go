package emulator

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/kvstore"
	"maddermill/wire"
)

// minPageItems is the maximum number of items in a page of a listing unless Link.Pages is larger.
const minPageItems = 7

// answerTimeout is how long a caller waits before it gives up on a lost response.
const answerTimeout = time.Second

// Link is one controller's connection to the store, with injected faults. It implements
// kvstore.Store.
type Link struct {
	Store *Store
	// Step, if set, is called before a transaction is sent, with applied false, and when Commit
	// returns, with applied true.
	Step func(t wire.Txn, applied bool)
	// Late, if set, returns the delay with which a transaction is applied while its caller gets
	// no response; 0 leaves the transaction unaffected. Once the link is in use, change it with
	// SetLate only.
	Late func(t wire.Txn) time.Duration
	// Loads, if set, is called before each page of a listing of records is returned; begins is
	// true for the first page.
	Loads func(begins bool)
	// Pages is the maximum number of items in a page, and at least minPageItems. The low default
	// makes listings span several pages.
	Pages int
	// Copies makes every transaction arrive a second time, up to 20 s later.
	Copies bool

	mu sync.Mutex // guards the fields below and Late

	rng         *rand.Rand
	down        bool
	pausedUntil time.Time     // when the controller's process resumes
	extraDelay  time.Duration // added to the delay of every request
	// lossShare is the fraction of transactions whose response is lost. Half of these are applied
	// 2 to 12 s late, after newer transactions.
	lossShare float64
}

// NewLink returns a link to a store, with delays and faults drawn from the seed.
func NewLink(s *Store, seed uint64) *Link {
	return &Link{Store: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

// SetDown starts or ends an outage, during which the link refuses all requests.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
}

// SetSlow sets the extra delay of every request.
func (l *Link) SetSlow(d time.Duration) {
	l.mu.Lock()
	l.extraDelay = d
	l.mu.Unlock()
}

// SetLate sets Late while the link is in use.
func (l *Link) SetLate(late func(t wire.Txn) time.Duration) {
	l.mu.Lock()
	l.Late = late
	l.mu.Unlock()
}

// lateFunc returns Late, under the lock.
func (l *Link) lateFunc() func(t wire.Txn) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Late
}

// SetLossy sets the fraction of transactions whose response is lost.
func (l *Link) SetLossy(share float64) {
	l.mu.Lock()
	l.lossShare = share
	l.mu.Unlock()
}

// currentLossShare returns the fraction of transactions whose response is lost.
func (l *Link) currentLossShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lossShare
}

// draw returns whether the link is down, a random number in [0, 1), and the delay of a request:
// 1 to 8 ms, or 300 ms for one in fifty, plus the extra delay from SetSlow. It always makes the
// same three draws in the same order, on which tests with fixed seeds depend.
func (l *Link) draw() (down bool, sample float64, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay = time.Duration(1+l.rng.IntN(8)) * time.Millisecond
	if l.rng.IntN(50) == 0 {
		delay = 300 * time.Millisecond
	}
	delay += l.extraDelay
	return l.down, l.rng.Float64(), delay
}

// Freeze emulates a pause of the controller's process: requests and responses are held back for
// d, regardless of the caller's timeout.
func (l *Link) Freeze(d time.Duration) {
	l.mu.Lock()
	l.pausedUntil = time.Now().Add(d)
	l.mu.Unlock()
}

// Frozen returns the remaining time of the pause; it is 0 or negative once the pause is over.
func (l *Link) Frozen() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.pausedUntil)
}

// Thaw blocks until the pause is over.
func (l *Link) Thaw() {
	for d := l.Frozen(); d > 0; d = l.Frozen() {
		time.Sleep(d)
	}
}

// transit sleeps for the delay of a request. It fails with kvstore.ErrRefused during an outage
// or when ctx ends.
func (l *Link) transit(ctx context.Context) error {
	l.Thaw()
	down, _, delay := l.draw()
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
	if err := l.transit(ctx); err != nil {
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
	if err := l.transit(ctx); err != nil {
		return wire.ItemPage{}, err
	}
	if l.Loads != nil && strings.Contains(prefix, "/") {
		l.Loads(after == "")
	}
	return l.Store.page(prefix, after, min(limit, max(l.Pages, minPageItems))), nil
}

// Commit implements kvstore.Store. If the response is lost, it fails with kvstore.ErrUnknown, and
// the transaction either has been applied or will be within seconds.
func (l *Link) Commit(ctx context.Context, t wire.Txn) (wire.Revision, error) {
	defer l.Thaw()
	if l.Step != nil {
		l.Step(t, false)
		defer l.Step(t, true)
	}
	if err := l.transit(ctx); err != nil {
		return 0, err
	}
	if late := l.lateFunc(); late != nil {
		if after := late(t); after > 0 {
			l.applyLate(t, after)
			time.Sleep(answerTimeout)
			return 0, kvstore.ErrUnknown
		}
	}
	lossShare := l.currentLossShare()
	if _, sample, _ := l.draw(); sample < lossShare {
		if part := sample / lossShare; part < 0.5 {
			l.applyLate(t, 2*time.Second+time.Duration(part*20*float64(time.Second)))
		} else {
			_, _ = l.Store.Apply(t)
		}
		time.Sleep(answerTimeout)
		return 0, kvstore.ErrUnknown
	}
	if l.Copies {
		_, sample, _ := l.draw()
		l.applyLate(t, time.Duration(sample*20*float64(time.Second)))
	}
	return l.Store.Apply(t)
}

// applyLate applies a copy of a transaction after a delay and discards the result.
func (l *Link) applyLate(t wire.Txn, after time.Duration) {
	b, _ := json.Marshal(t) // a wire.Txn always marshals
	time.AfterFunc(after, func() {
		var late wire.Txn
		if exactjson.Unmarshal(b, &late) == nil {
			_, _ = l.Store.Apply(late)
		}
	})
}

// AvailableChanges implements kvstore.Store. The emulator does not limit the write rate.
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
		if err := l.transit(ctx); err != nil {
			return wire.Events{}, err
		}
		ev, changed, err := l.Store.changes(prefix, after)
		if err != nil || changed == nil {
			return ev, err
		}
		select {
		case <-changed:
		case <-time.After(time.Second): // leases may have expired
		case <-end:
			return ev, nil
		case <-ctx.Done():
			return ev, ctx.Err()
		}
	}
}

// GrantLease implements kvstore.Store.
func (l *Link) GrantLease(ctx context.Context, ttl time.Duration) (wire.LeaseID, error) {
	if err := l.transit(ctx); err != nil {
		return 0, err
	}
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease], s.leaseTTL[s.lastLease] = time.Now().Add(ttl), ttl
	return s.lastLease, nil
}

// RenewLease implements kvstore.Store.
func (l *Link) RenewLease(ctx context.Context, id wire.LeaseID) error {
	if err := l.transit(ctx); err != nil {
		return err
	}
	s := l.Store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		return kvstore.ErrLeaseNotFound
	}
	s.leases[id] = time.Now().Add(s.leaseTTL[id])
	return nil
}
