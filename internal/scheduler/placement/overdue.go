package placement

import (
	"slices"
	"time"

	"maddermill/wire"
)

// An overdue job is one that must start now to begin within the bound on waiting. Without further
// rules it would have no objective left that it could meet and come behind every newcomer, the
// largest gangs last of all. So an overdue job comes first in its group, is not held back for
// forecasts, and a gang has the room reserved that becomes free for it (overdue_reservations.go).

// Parts of the bound on waiting, in LatestStart and AlmostOverdue, by which it is divided.
const (
	findRoomPart      = 3 // to find room in
	maxFetchPart      = 2 // at most, to fetch the image in
	almostOverduePart = 5 // since the latest start, until hardly any time is left
)

// LatestStart returns when a job must be placed at the latest to begin within a bound on waiting:
// fetching its image may take a third longer than stated, and for a third of the bound room may
// have to be found. fetchGB is the fetch rate of a machine in GB a second, 0 if unknown.
func LatestStart(accepted time.Time, bound time.Duration, imageGB, fetchGB float64) time.Time {
	fetch := min(bound/maxFetchPart, FetchTime(imageGB, fetchGB)*4/3)
	return accepted.Add(bound - bound/findRoomPart - fetch)
}

// AlmostOverdue reports whether a job has been overdue for a while and has hardly any time left to
// begin within the bound.
func AlmostOverdue(latest time.Time, bound time.Duration, now time.Time) bool {
	return !now.Before(latest.Add(bound / almostOverduePart))
}

// The spot reclaims that may be expected among a gang's machines before it is done, for spot
// machines to be worth it: maxReclaimsRestarted is for a gang that is overdue or was started
// before. Each reclaim costs the whole gang its start.
const (
	maxReclaims          = 1.0
	maxReclaimsRestarted = 0.3
)

// minOnDemandShare is how many machines that are not spot there must be for each task of a gang
// that is kept off spot machines, as not all of them take such gangs.
const minOnDemandShare = 4

// KeepLargeGangsOffSpot sets AvoidSpot on the gangs that would most likely lose a spot machine
// before they are done. reclaimsPerHour is the rate at which one spot machine is reclaimed.
func KeepLargeGangsOffSpot(queue []Entry, machines []*Machine, reclaimsPerHour float64) {
	if len(machines) == 0 {
		return
	}
	onDemand, rate := map[wire.MachineTypeName]int{}, machines[0].FetchGB
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
		hours := (FetchTime(spec.ImageGB, rate) + e.Expected).Hours()
		e.AvoidSpot = usable >= minOnDemandShare*tasks && float64(tasks)*reclaimsPerHour*hours > limit
	}
}
