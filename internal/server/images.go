package server

import (
	"time"

	"maddermill/internal/server/reconcile"
	"maddermill/wire"
)

// observeImages updates the images known to be on a machine with those that its tasks fetch or use. The caller
// must hold the cache lock.
func (s *HeartbeatServer) observeImages(w *reconcile.Worker, seen []reconcile.ReportedTask, now time.Time) {
	images := s.Registry.Images(s.records(), w)
	for _, task := range seen {
		spec := task.Held.Job.Spec
		if task.State == wire.TaskFetching {
			images.StartFetch(spec.Image, now)
		} else {
			images.RecordUse(spec.Image, spec.ImageGB)
		}
	}
}

// markFetching records that a machine is about to fetch a job's image, unless it already has it. The caller
// must hold the cache lock.
func (s *HeartbeatServer) markFetching(w *reconcile.Worker, id wire.JobID, now time.Time) {
	images := s.Registry.Images(s.records(), w)
	if job := s.records().Job(id); job != nil && !images.Has(job.Spec.Image) {
		images.StartFetch(job.Spec.Image, now)
	}
}
