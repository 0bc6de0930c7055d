package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"maddermill/internal/membership/peer"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/wait"
	"maddermill/wire"
)

// Timing of published statuses.
const (
	publishInterval = 5 * time.Second // while there are peers that the mesh does not reach
	readInterval    = time.Second     // how often peers' published statuses are looked for
	meshSilence     = 6 * time.Second // a published status counts after the mesh has had none for as long
	publishedAge    = time.Second     // how old a published status is taken to be when it is first read
)

// Committer commits transactions to the state service; a kvstore.Store is one.
type Committer interface {
	Commit(ctx context.Context, t wire.Txn) (wire.Revision, error)
}

var _ Committer = kvstore.Store(nil)

// Records is what ReadPublished needs of the cache of the records.
type Records interface {
	// Read calls f with the records, under their lock.
	Read(f func(l *ledger.Ledger))
}

// Publish writes this controller's status to the state service every few seconds while there are peers
// that do not ask for it over the mesh, until ctx ends. Changes are scarce. describe returns the
// status; false: there is nothing to publish.
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
		value, err := encodeStatus(s, m.opt.ValueBytes)
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

// needsPublishing reports whether some peer has not asked for the status over the mesh lately.
func (m *Membership) needsPublishing(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.opt.Others, func(id wire.MemberID) bool {
		return now.Sub(m.lastProbe[id]) > publishInterval
	})
}

// encodeStatus returns the JSON of a status in at most so many bytes, as far as leaving out images and
// then machines makes it shorter. It changes the status's machines.
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

// ReadPublished merges the statuses that peers publish where the mesh has had none lately, until ctx
// ends.
func (m *Membership) ReadPublished(ctx context.Context, records Records) error {
	last := map[wire.MemberID]string{} // the stored values that were read
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

// mergePublished merges a status that a peer has published, unless it can't be read, is older than one
// of the same run, or the mesh has a recent one.
func (m *Membership) mergePublished(id wire.MemberID, value []byte, now time.Time) {
	var s peer.Status
	if json.Unmarshal(value, &s) != nil || s.Version != peer.Version {
		return // of another version
	}
	// Only what it says of machines: a stored value proves nothing about cancellations acknowledged since.
	s.Loaded = false
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p != nil && s.Boot == p.Status.Boot && s.Revision < p.Status.Revision {
		return // written late, after newer ones of the same run
	}
	if p == nil || now.Sub(p.AsOf) >= meshSilence {
		m.observe(s, now.Add(-publishedAge))
	}
}
