package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/exactjson"
	"maddermill/internal/membership/peer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing of statuses published in the state service.
const (
	publishInterval     = 5 * time.Second // while some peer is not reached over the mesh
	readInterval        = time.Second     // between checks for statuses published by peers
	meshTimeout         = 6 * time.Second // without a status from the mesh, after which published ones count
	assumedPublishedAge = time.Second     // assumed age of a published status when it is first read
)

// Committer commits transactions to the state service. kvstore.Store implements it.
type Committer interface {
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

var _ Committer = kvstore.Store(nil)

// Records is the part of the record cache that ReadPublished needs.
type Records interface {
	// Read calls f with the records while holding their lock.
	Read(f func(l *ledger.Ledger))
}

// Publish writes this controller's status to the state service every publishInterval until ctx ends, but
// only while some peer does not probe it over the mesh, because the write rate of the state service is
// limited. describe returns the status, and false if there is none to publish.
func (m *Membership) Publish(ctx context.Context, store Committer, describe func() (peer.Status, bool)) error {
	for ctx.Err() == nil {
		wait.For(ctx, publishInterval)
		if !m.needsPublishing(time.Now()) {
			continue
		}
		s, ok := describe()
		if !ok {
			continue
		}
		value, err := encodeStatus(s, m.opt.MaxValueBytes)
		if err != nil {
			return fmt.Errorf("membership: encode the status to publish: %w", err)
		}
		txn := wire.Txn{Then: []wire.Change{{Put: ledger.MemberKey(m.opt.Self), Value: value}}}
		if _, err := store.Commit(ctx, txn); err != nil {
			m.log.Debug("member status not published", "err", err)
		}
	}
	return ctx.Err()
}

// needsPublishing reports whether some peer has not probed this controller within publishInterval.
func (m *Membership) needsPublishing(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.opt.Others, func(id wire.MemberID) bool {
		return now.Sub(m.lastProbe[id]) > publishInterval
	})
}

// encodeStatus encodes a status as JSON. If the result exceeds maxBytes, it omits the images of all machines
// and then, if necessary, some of the machines. It modifies the elements of s.Machines.
func encodeStatus(s peer.Status, maxBytes int) ([]byte, error) {
	value, err := json.Marshal(s)
	if err == nil && len(value) > maxBytes {
		for i := range s.Machines {
			s.Machines[i].Images, s.Machines[i].Fetching = nil, nil
		}
		value, err = json.Marshal(s)
	}
	for err == nil && len(value) > maxBytes && len(s.Machines) > 0 {
		s.Machines = s.Machines[:len(s.Machines)*3/4]
		value, err = json.Marshal(s)
	}
	return value, err
}

// ReadPublished merges the published statuses of peers that have not sent one over the mesh recently,
// until ctx ends.
func (m *Membership) ReadPublished(ctx context.Context, records Records) error {
	last := map[wire.MemberID]string{} // last value read, by peer
	for ctx.Err() == nil {
		wait.For(ctx, readInterval)
		for _, id := range m.opt.Others {
			var value []byte
			records.Read(func(l *ledger.Ledger) { value = l.Member(id) })
			if value == nil || string(value) == last[id] {
				continue
			}
			last[id] = string(value)
			m.mergePublished(id, value, time.Now())
		}
	}
	return ctx.Err()
}

// mergePublished merges a status published by a peer, unless it has another version, is older than a known
// one of the same run, or the mesh delivered a recent one.
func (m *Membership) mergePublished(id wire.MemberID, value []byte, now time.Time) {
	var s peer.Status
	if exactjson.Unmarshal(value, &s) != nil || s.Version != peer.Version {
		return // written by another version
	}
	// Use it for machine states only: the peer may have acknowledged cancellations since it was written.
	s.Loaded = false
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p != nil && s.Boot == p.Status.Boot && s.Revision < p.Status.Revision {
		return // a delayed write, older than a known status of the same run
	}
	if p == nil || now.Sub(p.AsOf) >= meshTimeout {
		m.observe(s, now.Add(-assumedPublishedAge))
	}
}
