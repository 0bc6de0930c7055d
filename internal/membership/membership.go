// Package membership is the part of a controller that knows the other controllers: what each told
// last over the mesh, since when, and what may be concluded from it. It also knows when this
// process itself stood still, since silence is then its own.
//
// It has a lock of its own, under which it calls nobody.
package membership

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/metrics"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Peer is what another controller told last. It does not change.
type Peer struct {
	Status peer.Status
	AsOf   time.Time // the latest time that the status can be relied on to describe
}

// HeartbeatAt is when the peer last heard a machine that it tells of.
func (p *Peer) HeartbeatAt(m *peer.Machine) time.Time {
	return p.AsOf.Add(-time.Duration(m.AgeMS) * time.Millisecond)
}

// Options are the settings of a membership.
type Options struct {
	Self       wire.MemberID
	Others     []wire.MemberID // as configured
	Count      int             // of controllers in the deployment
	Contact    time.Duration   // since the last contact with the state service, for starts
	ValueBytes int             // that a stored value may have
}

// Membership is that part of a controller.
type Membership struct {
	opt   Options
	stats *metrics.Set
	log   *slog.Logger

	mu         sync.Mutex
	peers      map[wire.MemberID]*Peer
	list       []*Peer                     // of them, in the order of their names
	told       map[wire.MemberID]time.Time // when peers last asked over the mesh
	ranAt      time.Time                   // when this process was last known to run, and
	awakeSince time.Time                   // since when without a break; zero: ever since its start
}

// New returns a membership that has heard of nobody.
func New(opt Options, stats *metrics.Set, log *slog.Logger) *Membership {
	return &Membership{
		opt:   opt,
		stats: stats,
		log:   log,
		peers: map[wire.MemberID]*Peer{},
		told:  map[wire.MemberID]time.Time{},
	}
}

// ObserveStatus takes in what a peer told.
func (m *Membership) ObserveStatus(s peer.Status, asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hear(s, asked)
}

func (m *Membership) hear(s peer.Status, asked time.Time) {
	m.peers[s.Member] = &Peer{s, asked}
	m.list = slices.SortedFunc(
		maps.Values(m.peers),
		func(a, b *Peer) int { return cmp.Compare(a.Status.Member, b.Status.Member) },
	)
}

// Peers lists what each peer that was ever heard told last, in the order of their names. The
// list is not to be changed.
func (m *Membership) Peers() []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// Peer is what one peer told last; nil: it was never heard.
func (m *Membership) Peer(id wire.MemberID) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[id]
}

// lately is how long ago a peer's status may have been asked for to speak for it.
const lately = 3 * time.Second

// ReachablePeers lists the peers that can take workers, in the order of their names.
func (m *Membership) ReachablePeers(now time.Time) []wire.MemberID {
	var fit []wire.MemberID
	for _, p := range m.Peers() {
		if now.Sub(p.AsOf) < lately && p.Status.Loaded && p.Status.ContactMS < m.opt.Contact.Milliseconds()/2 {
			fit = append(fit, p.Status.Member)
		}
	}
	return fit
}

// CancellationsConfirmedUntil is the time up to which every other controller has said that it told of no
// cancellation that a ledger lacks which has come as far as a revision; false while one of them
// doesn't. What peers list as cancelled must have been noted in the ledger before.
func (m *Membership) CancellationsConfirmedUntil(rev wire.Revision, now time.Time) (time.Time, bool) {
	if len(m.opt.Others) != m.opt.Count-1 {
		return time.Time{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	until := now
	for _, id := range m.opt.Others {
		p := m.peers[id]
		if p == nil || !p.Status.ConfirmsCancellations(rev) {
			return time.Time{}, false
		}
		if p.AsOf.Before(until) {
			until = p.AsOf
		}
	}
	return until, true
}

// PeersReachStore reports whether some other controller reaches the state service now.
func (m *Membership) PeersReachStore(now time.Time) bool {
	return slices.ContainsFunc(m.Peers(), func(p *Peer) bool {
		return now.Sub(p.AsOf) < lately && p.Status.Loaded && p.Status.ContactMS < 1500
	})
}

// LastHeard is when another controller last told anything; zero: never.
func (m *Membership) LastHeard() (at time.Time) {
	for _, p := range m.Peers() {
		if p.AsOf.After(at) {
			at = p.AsOf
		}
	}
	return at
}

// AllSupportFormat reports whether every controller says that it reads a format of records.
func (m *Membership) AllSupportFormat(format int) bool {
	for _, o := range m.Others(time.Now()) {
		if o.Peer == nil || o.Peer.Status.MaxFormat < format {
			return false
		}
	}
	return len(m.opt.Others) == m.opt.Count-1
}

// PeerState is another controller as configured, and what it told lately; nil: nothing.
type PeerState struct {
	Member wire.MemberID
	Peer   *Peer
}

// Others lists all other controllers as configured.
func (m *Membership) Others(now time.Time) (out []PeerState) {
	for _, id := range m.opt.Others {
		o := PeerState{Member: id}
		if p := m.Peer(id); p != nil && now.Sub(p.AsOf) < lately {
			o.Peer = p
		}
		out = append(out, o)
	}
	return out
}

// ObserveProbe notes that a peer asked over the mesh.
func (m *Membership) ObserveProbe(id wire.MemberID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told[id] = now
}

// A process may stand still for seconds or minutes while its clocks run on. What
// reached it meanwhile is old, what it had decided is old, and the silence of
// others in that time is its own. It finds out by how long it has not run.
const (
	attendEvery = 250 * time.Millisecond
	standstill  = 2 * time.Second        // a break longer than that is one
	oldRequests = 500 * time.Millisecond // after a standstill, requests may be as old as it
)

// DetectPauses keeps note that the process runs, until ctx ends.
func (m *Membership) DetectPauses(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, attendEvery)
		m.RunningSince(time.Now())
	}
	return ctx.Err()
}

// RunningSince tells since when the process has been running without a break; zero: ever since its
// start. Whoever judges by time passed asks first: no duty can be sure to run before another
// when the process goes on.
func (m *Membership) RunningSince(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gap := now.Sub(m.ranAt); gap > standstill && !m.ranAt.IsZero() {
		m.awakeSince = now
		m.log.Warn("process paused", "seconds", gap.Seconds())
		m.stats.Add("standstills_total", 1)
	}
	if now.After(m.ranAt) {
		m.ranAt = now
	}
	return m.awakeSince
}

// RecentlyPaused reports whether the process has stood still a moment ago, so that a
// request read now may have waited as long as that.
func (m *Membership) RecentlyPaused(now time.Time) bool {
	since := m.RunningSince(now)
	return !since.IsZero() && now.Sub(since) < oldRequests
}

// longOut is for how long the last contact with the state service may have been, for the silence
// of others to be theirs.
const longOut = 3 * time.Second

// SilenceCountsFrom is since when silence of machines counts, if it did since a time: not while this
// controller was out of touch with the state service, as by its last contact, or stood still.
// Every judgement of silence asks anew, since a standstill may lie between two.
func (m *Membership) SilenceCountsFrom(since, contact, now time.Time) time.Time {
	if now.Sub(contact) > longOut {
		since = now
	}
	if awake := m.RunningSince(now); awake.After(since) {
		since = awake
	}
	return since
}

// SetRunningForTest has the process have run last at a time. It is for tests of other parts.
func (m *Membership) SetRunningForTest(ranAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ranAt = ranAt
}

// publishEvery is how often a picture is published, if it must be.
const publishEvery = 5 * time.Second

// Records is what publishing needs of the mirror of the records.
type Records interface {
	Read(f func(l *ledger.Ledger))
}

// Publish writes this controller's status, as describe gives it, to the state service every
// few seconds while there are peers that the mesh does not reach, until ctx ends. Changes are
// scarce. describe tells false while there is nothing to publish.
func (m *Membership) Publish(ctx context.Context, store kvstore.Store, describe func() (peer.Status, bool)) error {
	for ctx.Err() == nil {
		wait.For(ctx, publishEvery)
		m.mu.Lock()
		needed := slices.ContainsFunc(
			m.opt.Others,
			func(id wire.MemberID) bool { return time.Since(m.told[id]) > publishEvery },
		)
		m.mu.Unlock()
		if !needed {
			continue
		}
		s, ok := describe()
		if !ok {
			continue
		}
		b, err := json.Marshal(s)
		if err == nil && len(b) > m.opt.ValueBytes {
			for i := range s.Machines {
				s.Machines[i].Images, s.Machines[i].Fetching = nil, nil
			}
			b, err = json.Marshal(s)
		}
		for err == nil && len(b) > m.opt.ValueBytes && len(s.Machines) > 0 {
			s.Machines = s.Machines[:len(s.Machines)*3/4]
			b, err = json.Marshal(s)
		}
		if err != nil {
			return err
		}
		if _, err := store.Commit(
			ctx,
			wire.Txn{Then: []wire.Change{{Put: ledger.MemberKey(m.opt.Self), Value: b}}},
		); err != nil {
			m.log.Debug("member status not published", "err", err)
		}
	}
	return ctx.Err()
}

// ReadPublished takes peers' published pictures where the mesh has nothing newer, until ctx
// ends.
func (m *Membership) ReadPublished(ctx context.Context, mirror Records) error {
	last := map[wire.MemberID]string{}
	for ctx.Err() == nil {
		wait.For(ctx, time.Second)
		for _, id := range m.opt.Others {
			var raw []byte
			mirror.Read(func(l *ledger.Ledger) { raw = l.Member(id) })
			if raw == nil || string(raw) == last[id] {
				continue
			}
			last[id] = string(raw)
			now := time.Now()
			var s peer.Status
			if json.Unmarshal(raw, &s) != nil || s.Version != peer.Version {
				continue
			}
			if p := m.Peer(id); p != nil && s.Boot == p.Status.Boot && s.Revision < p.Status.Revision {
				continue // written late, after newer ones of the same life
			}
			// Only the picture of machines: a stored value proves nothing about
			// cancellations told since.
			s.Loaded = false
			m.mu.Lock()
			if p := m.peers[id]; p == nil || now.Sub(p.AsOf) >= 6*time.Second {
				m.hear(s, now.Add(-time.Second))
			}
			m.mu.Unlock()
		}
	}
	return ctx.Err()
}
