package regress

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// meetings builds the days of our own on which two kinds of faults meet (docs/meetings.md).
// When each fault begins and how long it lasts is drawn from the seed, so that other seeds give
// other orders of the same meetings. The draws and their order must stay: a seed names its days.
type meetings struct {
	rng  *rand.Rand
	seed uint64
	days []OwnDay

	zones       []string
	controllers int64
	lease       float64 // the workers' lease, in seconds
	cancel      float64 // after how long cancelled tasks must have ended, in seconds

	jobs   []Table // all classes but services, with more cancellations
	arrays []Table // arrays but their largest jobs, cut down to two or three short tasks
}

// MeetingDays returns the days of a seed on a site. It fails if the site has fewer than two
// controllers or lacks the times of leases and cancellations.
func MeetingDays(site Table, seed uint64) ([]OwnDay, error) {
	m, err := newMeetings(site, seed)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", site["name"], err)
	}
	m.addGap()
	m.addAlone()
	m.addLate()
	m.addDeaf()
	m.addHandover()
	m.addSilent()
	m.addLooks()
	m.addLeaders()
	m.addMute()
	m.addMoment()
	return m.days, nil
}

// newMeetings reads what the days need from a site.
func newMeetings(site Table, seed uint64) (*meetings, error) {
	nodes, _ := site["nodes"].(Table)
	workers, _ := site["workers"].(Table)
	m := &meetings{
		rng:         rand.New(rand.NewPCG(seed, 6)),
		seed:        seed,
		controllers: int64(number(nodes["count"])),
		lease:       number(workers["lease_s"]),
		cancel:      number(workers["cancel_s"]),
	}
	if m.controllers < 2 || m.lease <= 0 || m.cancel <= m.lease {
		return nil, errors.New("too few controllers, or no times of leases and cancellations")
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
		if j["kind"] == "array" && !strings.HasSuffix(fmt.Sprint(j["name"]), Largest) {
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

// addGap: the state service refuses the leader alone, then it is down for all, twice.
func (m *meetings) addGap() {
	first, second := m.between(85, 110), m.between(240, 260)
	m.day("gap", m.jobs,
		m.leaderCut(first, "refuse", m.between(8, 25), "from_state"),
		fault(first+m.between(0.5, 6), "state_outage", Table{"for_s": m.cancel + m.between(8, 15)}),
		m.leaderCut(second, "refuse", m.between(8, 25), "from_state"),
		fault(second+m.between(0.5, 6), "state_outage", Table{"for_s": m.cancel + m.between(8, 15)}))
}

// addAlone: the leader loses the state service and the others; workers and users still reach it.
func (m *meetings) addAlone() {
	first, second := m.between(95, 115), m.between(230, 250)
	m.day("alone", m.jobs,
		m.leaderCut(first, m.mode(), m.between(m.lease, 2*m.lease), "from_state", "from_peers"),
		fault(first+m.between(5, 30), "node_crash", leader(nil)),
		m.leaderCut(second, m.mode(), m.between(20, m.lease), "from_state", "from_peers"),
		fault(second+m.between(1, 12), "state_outage", Table{"for_s": m.between(10, 30)}))
}

// addLate: transactions are applied late and heartbeats arrive again while controllers end and
// return.
func (m *meetings) addLate() {
	faults := []Table{
		fault(m.between(85, 100), "late_writes", Table{"share": 0.3, "for_s": m.between(40, 80)}),
		fault(m.between(85, 120), "late_reports", Table{"share": 0.3, "for_s": 150.0}),
		fault(m.between(200, 230), "late_writes", Table{"share": 0.5, "for_s": m.between(15, 30)}),
		fault(m.between(220, 240), "node_roll", Table{"every_s": m.between(2, 6)}),
	}
	for i := range 5 {
		at := 100 + 20*float64(i)
		faults = append(faults, fault(m.between(at, at+18), "node_crash", leader(nil)))
	}
	m.day("late", m.jobs, append(faults, fault(m.between(170, 215), "node_crash", m.everyController()))...)
}

// addDeaf: machines get no responses while the leader changes.
func (m *meetings) addDeaf() {
	first := m.between(95, 110)
	m.day("deaf", m.jobs,
		fault(first, "machine_deaf", Table{"share": 0.2, "for_s": m.between(m.lease, 2*m.lease)}),
		fault(first+m.between(1, 25), "node_crash", leader(nil)),
		fault(m.between(150, 170), "late_reports", Table{"share": 0.2, "for_s": 100.0}),
		fault(m.between(210, 230), "machine_deaf", Table{"zone": m.zone(), "for_s": m.between(15, m.lease+10)}),
		fault(m.between(215, 250), "node_crash", m.everyController()))
}

// addHandover: the tasks of small jobs end far apart while leadership changes again and again.
func (m *meetings) addHandover() {
	var faults []Table
	for i := range 6 {
		begin := 90 + 35*float64(i)
		kind := m.rng.IntN(4)
		at := m.between(begin, begin+15)
		switch kind {
		case 0:
			faults = append(faults, fault(at, "node_crash", leader(nil)))
		case 1:
			faults = append(faults, m.leaderCut(at, m.mode(), m.between(8, 25), "from_state"))
		case 2:
			faults = append(faults, fault(at, "node_freeze", leader(Table{"for_s": m.between(5, 20)})))
		case 3:
			faults = append(faults, m.leaderCut(at, m.mode(), m.between(8, 25), "from_workers"))
		}
	}
	m.day("handover", m.arrays, faults...)
}

// addSilent: the leader ends while machines can't be reached, and the state service is slow.
func (m *meetings) addSilent() {
	first := m.between(95, 110)
	m.day("silent", m.jobs,
		fault(first, "machine_cut",
			Table{"count": int64(120), "mode": m.mode(), "for_s": m.between(m.lease-6, m.lease+20)}),
		fault(first+m.between(2, 30), "node_crash", leader(nil)),
		fault(m.between(180, 200), "machine_hang", Table{"count": int64(120), "for_s": m.between(20, m.lease+10)}),
		fault(m.between(185, 230), "node_crash", m.everyController()),
		fault(m.between(230, 250), "late_writes", Table{"share": 0.2, "for_s": 40.0}))
	m.vary(Table{"state_slow": 0.1, "state_slow_times": 60.0, "list_lag": 0.9})
}

// addLooks: users check closely and cancel while answers are lost, heartbeats are held back for
// the next leader, controllers are rolled into an outage that lasts longer than a lease, and all
// end after it.
func (m *meetings) addLooks() {
	refused, outage := m.between(125, 135), m.between(210, 220)
	m.day("looks", []Table{{"name": m.jobs[len(m.jobs)-1]["name"], "cancelled": 0.3}}, append(
		userChecks(),
		fault(m.between(65, 75), "late_writes", Table{"share": 0.2, "for_s": 60.0, "at_once": true}),
		fault(80, "cancel_at_end", Table{"share": 0.4, "for_s": 200.0}),
		fault(m.between(85, 95), "late_reports", Table{"share": 0.2, "for_s": 100.0, "for_next": true}),
		fault(95, "machine_mute", Table{"share": 0.15, "for_s": m.between(m.lease, m.lease+20)}),
		cancelNow(100, 40, 60),
		fault(m.between(100.2, 102), "node_crash", leader(nil)),
		m.leaderCut(refused, "refuse", 40, "from_state", "from_peers"),
		cancelNow(refused+3, 30, 0),
		fault(150, "machine_deaf", Table{"share": 0.1, "for_s": m.lease + 9}),
		fault(180, "late_writes", Table{"share": 0.3, "for_s": 40.0}),
		fault(190, "late_commands", Table{"share": 0.5, "for_s": 60.0}),
		fault(outage-20, "node_roll", Table{"every_s": 5.0}),
		cancelNow(outage-15, 40, 50),
		fault(outage, "state_outage", Table{"for_s": m.cancel + 5}),
		fault(outage+m.cancel+8, "node_crash", m.everyController()),
		cancelNow(outage+m.cancel+9, 30, 0),
	)...)
}

// addLeaders: no outage, but machines die and are reclaimed, new ones boot at once, and the
// leader ends again and again.
func (m *meetings) addLeaders() {
	var faults []Table
	for i := range 9 {
		at := 100 + 15*float64(i)
		faults = append(faults, fault(m.between(at, at+12), "node_crash", leader(nil)))
	}
	m.day("leaders", nil, append(faults,
		fault(m.between(95, 105), "machine_die", Table{"count": int64(120)}),
		fault(m.between(170, 190), "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		fault(m.between(110, 130), "late_writes", Table{"share": 0.3, "for_s": 80.0}))...)
	m.vary(Table{"boot": 0.3, "boot_slow": 0.0, "speed": 0.1})
}

// addMute: machines reach nobody, and commands and heartbeats are late, while the leader changes.
func (m *meetings) addMute() {
	first := m.between(95, 110)
	m.day("mute", m.arrays, append(userChecks(),
		fault(first, "machine_mute", Table{"zone": m.zone(), "for_s": m.between(15, m.lease+15)}),
		fault(first+m.between(1, 20), "node_crash", leader(nil)),
		fault(first, "late_commands", Table{"share": 0.5, "for_s": 120.0}),
		fault(m.between(150, 170), "late_reports", Table{"share": 0.3, "for_s": 80.0, "for_next": true}),
		fault(m.between(190, 210), "machine_mute",
			Table{"count": int64(150), "for_s": m.between(m.lease-5, 2*m.lease)}),
		fault(m.between(200, 225), "node_crash", m.everyController()),
		cancelNow(m.between(205, 225), 40, m.lease+10))...)
}

// addMoment: jobs are cancelled at the moment at which the leader alone is refused, and a second
// later the state service is down for all.
func (m *meetings) addMoment() {
	first, second := m.between(95, 105), m.between(230, 245)
	m.day("moment", m.jobs, append(
		userChecks(),
		m.leaderCut(first, "refuse", m.between(8, 25), "from_state"),
		cancelNow(first, 40, 0),
		fault(first+1, "state_outage", Table{"for_s": m.cancel + m.between(3, 12)}),
		m.leaderCut(second, "refuse", m.between(8, 25), "from_state"),
		cancelNow(second, 40, 30),
		fault(second+1, "state_outage", Table{"for_s": m.cancel + m.between(3, 12)}),
		fault(second+m.between(10, 40), "node_crash", leader(nil)),
	)...)
}

// day adds a day with changes to the site's classes of jobs, if any, and faults.
func (m *meetings) day(name string, jobs []Table, faults ...Table) {
	d := scaleDay(name, int64(950+len(m.days)+20*int(m.seed)), faults)
	if len(jobs) > 0 {
		d["jobs"] = asAny(jobs)
	}
	m.days = append(m.days, OwnDay{Name: fmt.Sprintf("%s-%d", name, m.seed), Day: d})
}

// vary sets the variations of the day that was added last.
func (m *meetings) vary(v Table) { m.days[len(m.days)-1].Day["vary"] = v }

// between draws a number from low up to, but not including, high, in steps of a tenth.
func (m *meetings) between(low, high float64) float64 {
	return low + float64(m.rng.IntN(max(1, int((high-low)*10))))/10
}

// mode draws what happens to connections in a network partition.
func (m *meetings) mode() string { return []string{"hold", "reset"}[m.rng.IntN(2)] }

// zone draws a zone.
func (m *meetings) zone() string { return m.zones[m.rng.IntN(len(m.zones))] }

// everyController selects all controllers in a fault.
func (m *meetings) everyController() Table { return Table{"count": m.controllers, "busiest": true} }

// leaderCut is a partition of the leader from others, for a time in seconds.
func (m *meetings) leaderCut(at float64, mode string, length float64, from ...string) Table {
	t := leader(Table{"mode": mode, "for_s": length})
	for _, f := range from {
		t[f] = true
	}
	return fault(at, "node_cut", t)
}

// leader selects the leader, which is the busiest controller, in a fault with more fields.
func leader(fields Table) Table {
	t := Table{"count": int64(1), "busiest": true}
	maps.Copy(t, fields)
	return t
}

// userChecks has users check closely and send odd requests.
func userChecks() []Table {
	return []Table{
		fault(60, "close_looks", Table{"for_s": 300.0}),
		fault(60, "odd_requests", Table{"for_s": 300.0}),
	}
}

// cancelNow has users cancel running jobs at a time, whose machines then hang for a time if that
// is not 0.
func cancelNow(at float64, count int64, hang float64) Table {
	t := fault(at, "cancel_now", Table{"count": count})
	if hang > 0 {
		t["hang_s"] = hang
	}
	return t
}
