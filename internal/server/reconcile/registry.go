package reconcile

import (
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// Registry is the machines that report to this controller, and what is known of their images.
// It has no lock: it is used under the mirror's.
type Registry struct {
	members   *membership.Membership
	completed *completion.Log
	workers   map[wire.MachineID]*Worker
	images    map[wire.MachineID]*cached
}

// cached is what a machine is believed to hold in a session.
type cached struct {
	session wire.AgentEpoch
	images  *placement.Images
}

// NewRegistry returns a roster without machines. Members tell of the images of a machine that
// another controller held before.
func NewRegistry(m *membership.Membership, completed *completion.Log) *Registry {
	return &Registry{
		members:   m,
		completed: completed,
		workers:   map[wire.MachineID]*Worker{},
		images:    map[wire.MachineID]*cached{},
	}
}

// Worker is a machine that reports here; nil: it doesn't.
func (r *Registry) Worker(id wire.MachineID) *Worker { return r.workers[id] }

// Register adds a machine that reports here for the first time.
func (r *Registry) Register(report *wire.Heartbeat, now time.Time) *Worker {
	w := NewWorker(report, r.completed, now)
	r.workers[w.ID] = w
	return w
}

// Len is the number of machines.
func (r *Registry) Len() int { return len(r.workers) }

// Each gives f every machine, in no order.
func (r *Registry) Each(f func(*Worker)) {
	for _, w := range r.workers {
		f(w)
	}
}

// Images is what a machine is believed to hold.
func (r *Registry) Images(l *ledger.Ledger, w *Worker) *placement.Images {
	c := r.images[w.ID]
	if c != nil && c.session == w.Session {
		return c.images
	}
	f, _ := l.MachineType(w.Type)
	fresh := &cached{w.Session, placement.NewImages(f.CacheGB)}
	if c == nil {
		// Another controller may have held it in this session.
		for _, p := range r.members.Peers() {
			for i := range p.Status.Machines {
				if m := &p.Status.Machines[i]; m.ID == w.ID && m.Session == w.Session {
					for _, name := range m.Images {
						fresh.images.Use(name, 0)
					}
				}
			}
		}
	}
	r.images[w.ID] = fresh
	return fresh.images
}

// KnownImages is what a machine is believed to hold, if anything is known of it yet; else nil.
func (r *Registry) KnownImages(w *Worker) *placement.Images {
	if c := r.images[w.ID]; c != nil {
		return c.images
	}
	return nil
}

// Bounds of remembering machines that report no more.
const (
	forgetSilent = 10 * time.Minute
	forgetGone   = time.Minute // of those that are gone for good
)

// Forget drops the machines that are long silent, or gone, and tells which.
func (r *Registry) Forget(l *ledger.Ledger, now time.Time) (gone []wire.MachineID) {
	for id, w := range r.workers {
		if silent := now.Sub(
			w.LastHeartbeat,
		); silent > forgetSilent ||
			silent > forgetGone && l.MachinePhase(id) == ledger.Terminated {
			delete(r.workers, id)
			delete(r.images, id)
			gone = append(gone, id)
		}
	}
	return gone
}
