package regress

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// overlapDays builds the stress days on which two kinds of faults overlap (docs/meetings.md).
// The start and duration of each fault are drawn from the seed, so that different seeds give
// different orders of the same faults. The draws and their order must not change: a seed identifies
// its days.
type overlapDays struct {
	rng  *rand.Rand
	seed uint64
	days []StressDay

	zones       []string
	controllers int64
	lease       float64 // duration of the workers' lease, in seconds
	cancelGrace float64 // time within which cancelled tasks must end, in seconds

	jobs   []Table // all classes except services, with more cancellations
	arrays []Table // array classes without their largest jobs, reduced to two or three short tasks
}

// OverlappingFaultDays returns the days with overlapping faults of a seed for a site. It fails if the site has
// fewer than two controllers or lacks the durations of leases and cancellations.
func OverlappingFaultDays(site Table, seed uint64) ([]StressDay, error) {
	m, err := newOverlapDays(site, seed)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", site["name"], err)
	}
	m.addOutageAfterLeaderCut()
	m.addIsolatedLeader()
	m.addDelayedWrites()
	m.addLostResponses()
	m.addLeadershipChanges()
	m.addUnreachableMachines()
	m.addClosePolling()
	m.addLeaderCrashes()
	m.addMutedMachines()
	m.addCancelAtLeaderCut()
	return m.days, nil
}

// newOverlapDays reads the settings that the days depend on from a site.
func newOverlapDays(site Table, seed uint64) (*overlapDays, error) {
	nodes, _ := site["nodes"].(Table)
	workers, _ := site["workers"].(Table)
	m := &overlapDays{
		rng:         rand.New(rand.NewPCG(seed, 6)),
		seed:        seed,
		controllers: int64(number(nodes["count"])),
		lease:       number(workers["lease_s"]),
		cancelGrace: number(workers["cancel_s"]),
	}
	if m.controllers < 2 || m.lease <= 0 || m.cancelGrace <= m.lease {
		return nil, errors.New("need at least 2 controllers, lease_s above 0 and cancel_s above lease_s")
	}
	for _, c := range tables(site["capacity"]) {
		if zone, _ := c["zone"].(string); !slices.Contains(m.zones, zone) {
			m.zones = append(m.zones, zone)
		}
	}
	for _, j := range tables(site["jobs"]) {
		if j["kind"] == "service" {
			continue // services run until they are cancelled
		}
		m.jobs = append(m.jobs, Table{"name": j["name"], "cancelled": 0.35})
		if j["kind"] == "array" && !strings.HasSuffix(fmt.Sprint(j["name"]), LargestSuffix) {
			m.arrays = append(m.arrays, Table{
				"name":      j["name"],
				"tasks":     Table{"median": int64(2), "p95": int64(3), "max": int64(3)},
				"run_s":     Table{"median": 30.0, "p95": 150.0, "max": 200.0},
				"cancelled": 0.1,
			})
		}
	}
	return m, nil
}

// addOutageAfterLeaderCut adds a day on which, twice, the state service first refuses only the leader and
// then is down for all controllers.
func (m *overlapDays) addOutageAfterLeaderCut() {
	first, second := m.between(85, 110), m.between(240, 260)
	m.day("gap", m.jobs,
		m.leaderCut(first, "refuse", m.between(8, 25), "from_state"),
		fault(first+m.between(0.5, 6), "state_outage", Table{"for_s": m.cancelGrace + m.between(8, 15)}),
		m.leaderCut(second, "refuse", m.between(8, 25), "from_state"),
		fault(second+m.between(0.5, 6), "state_outage", Table{"for_s": m.cancelGrace + m.between(8, 15)}))
}

// addIsolatedLeader adds a day on which the leader loses the state service and its peers, while workers
// and users still reach it.
func (m *overlapDays) addIsolatedLeader() {
	first, second := m.between(95, 115), m.between(230, 250)
	m.day("alone", m.jobs,
		m.leaderCut(first, m.partitionMode(), m.between(m.lease, 2*m.lease), "from_state", "from_peers"),
		fault(first+m.between(5, 30), "node_crash", leaderTarget(nil)),
		m.leaderCut(second, m.partitionMode(), m.between(20, m.lease), "from_state", "from_peers"),
		fault(second+m.between(1, 12), "state_outage", Table{"for_s": m.between(10, 30)}))
}

// addDelayedWrites adds a day on which transactions are applied late and heartbeats arrive twice while
// controllers crash and restart.
func (m *overlapDays) addDelayedWrites() {
	faults := []Table{
		fault(m.between(85, 100), "late_writes", Table{"share": 0.3, "for_s": m.between(40, 80)}),
		fault(m.between(85, 120), "late_reports", Table{"share": 0.3, "for_s": 150.0}),
		fault(m.between(200, 230), "late_writes", Table{"share": 0.5, "for_s": m.between(15, 30)}),
		fault(m.between(220, 240), "node_roll", Table{"every_s": m.between(2, 6)}),
	}
	for i := range 5 {
		at := 100 + 20*float64(i)
		faults = append(faults, fault(m.between(at, at+18), "node_crash", leaderTarget(nil)))
	}
	m.day("late", m.jobs, append(faults, fault(m.between(170, 215), "node_crash", m.allNodes()))...)
}

// addLostResponses adds a day on which machines get no responses while the leader changes.
func (m *overlapDays) addLostResponses() {
	first := m.between(95, 110)
	m.day("deaf", m.jobs,
		fault(first, "machine_deaf", Table{"share": 0.2, "for_s": m.between(m.lease, 2*m.lease)}),
		fault(first+m.between(1, 25), "node_crash", leaderTarget(nil)),
		fault(m.between(150, 170), "late_reports", Table{"share": 0.2, "for_s": 100.0}),
		fault(m.between(210, 230), "machine_deaf", Table{"zone": m.randomZone(), "for_s": m.between(15, m.lease+10)}),
		fault(m.between(215, 250), "node_crash", m.allNodes()))
}

// addLeadershipChanges adds a day on which the tasks of small jobs complete far apart while leadership
// changes repeatedly.
func (m *overlapDays) addLeadershipChanges() {
	var faults []Table
	for i := range 6 {
		begin := 90 + 35*float64(i)
		kind := m.rng.IntN(4)
		at := m.between(begin, begin+15)
		switch kind {
		case 0:
			faults = append(faults, fault(at, "node_crash", leaderTarget(nil)))
		case 1:
			faults = append(faults, m.leaderCut(at, m.partitionMode(), m.between(8, 25), "from_state"))
		case 2:
			faults = append(faults, fault(at, "node_freeze", leaderTarget(Table{"for_s": m.between(5, 20)})))
		case 3:
			faults = append(faults, m.leaderCut(at, m.partitionMode(), m.between(8, 25), "from_workers"))
		}
	}
	m.day("handover", m.arrays, faults...)
}

// addUnreachableMachines adds a day on which the leader crashes while machines can't be reached and the state
// service is slow.
func (m *overlapDays) addUnreachableMachines() {
	first := m.between(95, 110)
	m.day("silent", m.jobs,
		fault(first, "machine_cut",
			Table{"count": int64(120), "mode": m.partitionMode(), "for_s": m.between(m.lease-6, m.lease+20)}),
		fault(first+m.between(2, 30), "node_crash", leaderTarget(nil)),
		fault(m.between(180, 200), "machine_hang", Table{"count": int64(120), "for_s": m.between(20, m.lease+10)}),
		fault(m.between(185, 230), "node_crash", m.allNodes()),
		fault(m.between(230, 250), "late_writes", Table{"share": 0.2, "for_s": 40.0}))
	m.vary(Table{"state_slow": 0.1, "state_slow_times": 60.0, "list_lag": 0.9})
}

// addClosePolling adds a day on which users poll frequently and cancel jobs while responses are lost and
// heartbeats are held back for the next leader. A rolling restart of the controllers runs into an outage
// that lasts longer than a lease, after which all of them crash.
func (m *overlapDays) addClosePolling() {
	refused, outage := m.between(125, 135), m.between(210, 220)
	m.day("looks", []Table{{"name": m.jobs[len(m.jobs)-1]["name"], "cancelled": 0.3}}, append(
		closePollingFaults(),
		fault(m.between(65, 75), "late_writes", Table{"share": 0.2, "for_s": 60.0, "at_once": true}),
		fault(80, "cancel_at_end", Table{"share": 0.4, "for_s": 200.0}),
		fault(m.between(85, 95), "late_reports", Table{"share": 0.2, "for_s": 100.0, "for_next": true}),
		fault(95, "machine_mute", Table{"share": 0.15, "for_s": m.between(m.lease, m.lease+20)}),
		cancelRunning(100, 40, 60),
		fault(m.between(100.2, 102), "node_crash", leaderTarget(nil)),
		m.leaderCut(refused, "refuse", 40, "from_state", "from_peers"),
		cancelRunning(refused+3, 30, 0),
		fault(150, "machine_deaf", Table{"share": 0.1, "for_s": m.lease + 9}),
		fault(180, "late_writes", Table{"share": 0.3, "for_s": 40.0}),
		fault(190, "late_commands", Table{"share": 0.5, "for_s": 60.0}),
		fault(outage-20, "node_roll", Table{"every_s": 5.0}),
		cancelRunning(outage-15, 40, 50),
		fault(outage, "state_outage", Table{"for_s": m.cancelGrace + 5}),
		fault(outage+m.cancelGrace+8, "node_crash", m.allNodes()),
		cancelRunning(outage+m.cancelGrace+9, 30, 0),
	)...)
}

// addLeaderCrashes adds a day without an outage, on which machines fail and are reclaimed, new ones boot
// fast, and the leader crashes repeatedly.
func (m *overlapDays) addLeaderCrashes() {
	var faults []Table
	for i := range 9 {
		at := 100 + 15*float64(i)
		faults = append(faults, fault(m.between(at, at+12), "node_crash", leaderTarget(nil)))
	}
	m.day("leaders", nil, append(faults,
		fault(m.between(95, 105), "machine_die", Table{"count": int64(120)}),
		fault(m.between(170, 190), "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		fault(m.between(110, 130), "late_writes", Table{"share": 0.3, "for_s": 80.0}))...)
	m.vary(Table{"boot": 0.3, "boot_slow": 0.0, "speed": 0.1})
}

// addMutedMachines adds a day on which machines can't reach the controllers, and commands and heartbeats are
// late, while the leader changes.
func (m *overlapDays) addMutedMachines() {
	first := m.between(95, 110)
	m.day("mute", m.arrays, append(closePollingFaults(),
		fault(first, "machine_mute", Table{"zone": m.randomZone(), "for_s": m.between(15, m.lease+15)}),
		fault(first+m.between(1, 20), "node_crash", leaderTarget(nil)),
		fault(first, "late_commands", Table{"share": 0.5, "for_s": 120.0}),
		fault(m.between(150, 170), "late_reports", Table{"share": 0.3, "for_s": 80.0, "for_next": true}),
		fault(m.between(190, 210), "machine_mute",
			Table{"count": int64(150), "for_s": m.between(m.lease-5, 2*m.lease)}),
		fault(m.between(200, 225), "node_crash", m.allNodes()),
		cancelRunning(m.between(205, 225), 40, m.lease+10))...)
}

// addCancelAtLeaderCut adds a day on which jobs are cancelled at the moment at which the state service starts
// to refuse the leader. One second later it is down for all controllers.
func (m *overlapDays) addCancelAtLeaderCut() {
	first, second := m.between(95, 105), m.between(230, 245)
	m.day("moment", m.jobs, append(
		closePollingFaults(),
		m.leaderCut(first, "refuse", m.between(8, 25), "from_state"),
		cancelRunning(first, 40, 0),
		fault(first+1, "state_outage", Table{"for_s": m.cancelGrace + m.between(3, 12)}),
		m.leaderCut(second, "refuse", m.between(8, 25), "from_state"),
		cancelRunning(second, 40, 30),
		fault(second+1, "state_outage", Table{"for_s": m.cancelGrace + m.between(3, 12)}),
		fault(second+m.between(10, 40), "node_crash", leaderTarget(nil)),
	)...)
}

// day adds a day with faults, and with changes to the site's job classes if there are any.
func (m *overlapDays) day(name string, jobs []Table, faults ...Table) {
	d := newScaleDay(name, int64(950+len(m.days)+20*int(m.seed)), faults)
	if len(jobs) > 0 {
		d["jobs"] = asAny(jobs)
	}
	m.days = append(m.days, StressDay{Name: fmt.Sprintf("%s-%d", name, m.seed), Day: d})
}

// vary sets the variations of the most recently added day.
func (m *overlapDays) vary(v Table) { m.days[len(m.days)-1].Day["vary"] = v }

// between draws a number from [low, high), in steps of 0.1.
func (m *overlapDays) between(low, high float64) float64 {
	return low + float64(m.rng.IntN(max(1, int((high-low)*10))))/10
}

// partitionMode draws whether a network partition holds or resets connections.
func (m *overlapDays) partitionMode() string { return []string{"hold", "reset"}[m.rng.IntN(2)] }

// randomZone draws one of the site's zones.
func (m *overlapDays) randomZone() string { return m.zones[m.rng.IntN(len(m.zones))] }

// allNodes returns the fields of a fault that affects all controllers.
func (m *overlapDays) allNodes() Table { return Table{"count": m.controllers, "busiest": true} }

// leaderCut returns a fault that partitions the leader from others; at and length are in seconds.
func (m *overlapDays) leaderCut(at float64, mode string, length float64, from ...string) Table {
	t := leaderTarget(Table{"mode": mode, "for_s": length})
	for _, f := range from {
		t[f] = true
	}
	return fault(at, "node_cut", t)
}

// leaderTarget returns the fields of a fault that affects the leader, which is the busiest controller, and
// the given ones.
func leaderTarget(fields Table) Table {
	t := Table{"count": int64(1), "busiest": true}
	maps.Copy(t, fields)
	return t
}

// closePollingFaults returns faults that make users poll frequently and send unusual requests.
func closePollingFaults() []Table {
	return []Table{
		fault(60, "close_looks", Table{"for_s": 300.0}),
		fault(60, "odd_requests", Table{"for_s": 300.0}),
	}
}

// cancelRunning returns a fault that makes users cancel running jobs. If hang is not 0, the machines of
// these jobs then hang for that time.
func cancelRunning(at float64, count int64, hang float64) Table {
	t := fault(at, "cancel_now", Table{"count": count})
	if hang > 0 {
		t["hang_s"] = hang
	}
	return t
}
