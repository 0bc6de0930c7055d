package placement

import (
	"slices"
	"time"

	"maddermill/wire"
)

// An overdue job must start now to start within the waiting bound. Without special handling, it
// would have no achievable objective left and be ordered after every newly submitted job, with the
// largest gangs last. Therefore an overdue job comes first in its group and is not delayed for
// forecasts of free capacity, and an overdue gang has machines reserved as their capacity becomes
// free (overdue_reservations.go).

// Divisors of the waiting bound, used by LatestStart and AlmostOverdue.
const (
	findCapacityDivisor  = 3 // time reserved for finding capacity
	maxFetchDivisor      = 2 // maximum time reserved for fetching the image
	almostOverdueDivisor = 5 // time after the latest start until a job is almost overdue
)

// LatestStart returns when a job must be placed at the latest to start within the waiting bound. It
// allows a third more than the nominal time for the image fetch, and a third of the bound for
// finding capacity. fetchGB is the fetch rate of a machine in GB/s, 0 if unknown.
func LatestStart(accepted time.Time, bound time.Duration, imageGB, fetchGB float64) time.Time {
	fetch := min(bound/maxFetchDivisor, FetchTime(imageGB, fetchGB)*4/3)
	return accepted.Add(bound - bound/findCapacityDivisor - fetch)
}

// AlmostOverdue reports whether a job has been overdue for a fifth of the bound and has little time
// left to start within it.
func AlmostOverdue(latest time.Time, bound time.Duration, now time.Time) bool {
	return !now.Before(latest.Add(bound / almostOverdueDivisor))
}

// Maximum number of spot reclaims expected among a gang's machines during its run for spot machines
// to be worthwhile, as each reclaim forces the whole gang to restart. maxReclaimsRestarted applies
// to gangs that are overdue or were started before.
const (
	maxReclaims          = 1.0
	maxReclaimsRestarted = 0.3
)

// minOnDemandPerTask is how many on-demand machines must exist per task of a gang for the gang to
// be kept off spot machines. It exceeds 1 because not every on-demand machine is available to such
// gangs.
const minOnDemandPerTask = 4

// KeepLargeGangsOffSpot sets AvoidSpot on the gangs that would likely lose a spot machine before
// they finish. reclaimsPerHour is the rate at which a single spot machine is reclaimed.
func KeepLargeGangsOffSpot(queue []Entry, machines []*Machine, reclaimsPerHour float64) {
	if len(machines) == 0 {
		return
	}
	onDemand, rate := map[wire.MachineTypeName]int{}, machines[0].FetchGBps
	for _, m := range machines {
		if m.Usable && !m.Spot {
			onDemand[m.Type]++
		}
	}
	for i := range queue {
		e := &queue[i]
		spec := e.Job.Spec
		tasks := e.Job.GangSize()
		if tasks < 2 || !spec.Spot {
			continue
		}
		usable := 0
		for t, count := range onDemand {
			if spec.Types == nil || slices.Contains(spec.Types, t) {
				usable += count
			}
		}
		limit := maxReclaims
		if e.Overdue || e.Job.Attempt() > 0 {
			limit = maxReclaimsRestarted
		}
		hours := (FetchTime(spec.ImageGB, rate) + e.ExpectedRunTime).Hours()
		e.AvoidSpot = usable >= minOnDemandPerTask*tasks && float64(tasks)*reclaimsPerHour*hours > limit
	}
}
