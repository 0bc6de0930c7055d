package reconcile

import (
	"time"

	"maddermill/internal/membership"
	"maddermill/internal/membership/completion"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// How long a worker without heartbeats stays in the registry.
const (
	silentRetention     = 10 * time.Minute
	terminatedRetention = time.Minute // if the machine is recorded as terminated
)

// Registry holds the workers that report to this controller, and the images on their machines. It has no lock
// of its own; the lock of the watch cache guards it.
type Registry struct {
	membership  *membership.Membership
	completions *completion.Log
	workers     map[wire.MachineID]*Worker
	images      map[wire.MachineID]*machineImages
}

// machineImages holds the images known to be on a machine in an agent epoch.
type machineImages struct {
	epoch  wire.AgentEpoch
	images *placement.ImageCache
}

// NewRegistry returns an empty registry. The peers in the membership supply the images of machines that
// previously reported to another controller.
func NewRegistry(m *membership.Membership, completions *completion.Log) *Registry {
	return &Registry{
		membership:  m,
		completions: completions,
		workers:     map[wire.MachineID]*Worker{},
		images:      map[wire.MachineID]*machineImages{},
	}
}

// Worker returns the worker of a machine, or nil if it does not report here.
func (r *Registry) Worker(id wire.MachineID) *Worker { return r.workers[id] }

// Register adds a worker that sends its first heartbeat to this controller.
func (r *Registry) Register(heartbeat *wire.Heartbeat, now time.Time) *Worker {
	w := NewWorker(heartbeat, r.completions, now)
	r.workers[w.ID] = w
	return w
}

// Len returns the number of workers.
func (r *Registry) Len() int { return len(r.workers) }

// Each calls f for every worker, in no particular order.
func (r *Registry) Each(f func(*Worker)) {
	for _, w := range r.workers {
		f(w)
	}
}

// Images returns the images known to be on a machine, for the caller to update. A new agent epoch starts
// without images.
func (r *Registry) Images(records *ledger.Ledger, w *Worker) *placement.ImageCache {
	known := r.images[w.ID]
	if known != nil && known.epoch == w.Epoch {
		return known.images
	}
	machineType, _ := records.MachineType(w.Type)
	images := placement.NewImageCache(machineType.CacheGB)
	if known == nil {
		// The worker may have reported to another controller in this epoch.
		r.addPeerImages(images, w)
	}
	r.images[w.ID] = &machineImages{epoch: w.Epoch, images: images}
	return images
}

// addPeerImages adds the images that peers know to be on a machine in its current epoch.
func (r *Registry) addPeerImages(images *placement.ImageCache, w *Worker) {
	for _, peer := range r.membership.Peers() {
		for i := range peer.Status.Machines {
			m := &peer.Status.Machines[i]
			if m.ID != w.ID || m.Epoch != w.Epoch {
				continue
			}
			for _, name := range m.Images {
				images.RecordUse(name, 0)
			}
		}
	}
}

// KnownImages returns the images known to be on a machine, or nil if nothing is known about them yet.
func (r *Registry) KnownImages(w *Worker) *placement.ImageCache {
	if known := r.images[w.ID]; known != nil {
		return known.images
	}
	return nil
}

// RemoveInactive removes and returns the workers that have been silent for silentRetention, or for terminatedRetention
// if their machines are terminated.
func (r *Registry) RemoveInactive(records *ledger.Ledger, now time.Time) (forgotten []wire.MachineID) {
	for id, w := range r.workers {
		silence := now.Sub(w.LastHeartbeat)
		terminated := silence > terminatedRetention && records.MachinePhase(id) == ledger.Terminated
		if silence > silentRetention || terminated {
			delete(r.workers, id)
			delete(r.images, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}
