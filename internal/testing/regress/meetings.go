package regress

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// Meetings are days of our own on which two troubles meet (docs/meetings.md). When each begins and
// for how long is drawn from a seed, so that other seeds play other orders of the same meetings.

// MeetingDays pairs troubles on a site.
func MeetingDays(site Table, seed uint64) ([]OwnDay, error) {
	nodes, _ := site["nodes"].(Table)
	workers, _ := site["workers"].(Table)
	controllers, lease, cancel := int64(number(nodes["count"])), number(workers["lease_s"]), number(workers["cancel_s"])
	if controllers < 2 || lease <= 0 || cancel <= lease {
		return nil, fmt.Errorf("%v: too few controllers, or no times of leases and cancellations", site["name"])
	}
	m := &meetings{rng: rand.New(rand.NewPCG(seed, 6)), seed: seed}
	for _, c := range tables(site["capacity"]) {
		if z, _ := c["zone"].(string); !slices.Contains(m.zones, z) {
			m.zones = append(m.zones, z)
		}
	}
	var arrays, all []Table // services run until they are cancelled
	for _, j := range tables(site["jobs"]) {
		if j["kind"] == "service" {
			continue
		}
		all = append(all, Table{"name": j["name"], "cancelled": 0.35})
		if j["kind"] == "array" && !strings.HasSuffix(fmt.Sprint(j["name"]), Largest) {
			arrays = append(
				arrays,
				Table{"name": j["name"], "tasks": Table{"median": int64(2), "p95": int64(3), "max": int64(3)},
					"run_s": Table{"median": 30.0, "p95": 150.0, "max": 200.0}, "cancelled": 0.1},
			)
		}
	}
	leader := func(more Table) Table {
		t := Table{"count": int64(1), "busiest": true}
		maps.Copy(t, more)
		return t
	}
	mode := func() string { return []string{"hold", "reset"}[m.rng.IntN(2)] }

	// The state service refuses the leader alone, then it is down for all, twice.
	first, second := m.between(85, 110), m.between(240, 260)
	m.day("gap", all,
		m.fault(first, "node_cut", leader(Table{"from_state": true, "mode": "refuse", "for_s": m.between(8, 25)})),
		m.fault(first+m.between(0.5, 6), "state_outage", Table{"for_s": cancel + m.between(8, 15)}),
		m.fault(second, "node_cut", leader(Table{"from_state": true, "mode": "refuse", "for_s": m.between(8, 25)})),
		m.fault(second+m.between(0.5, 6), "state_outage", Table{"for_s": cancel + m.between(8, 15)}))

	// The leader loses the state service and the others; workers and users still reach it.
	alone, again := m.between(95, 115), m.between(230, 250)
	m.day(
		"alone",
		all,
		m.fault(
			alone,
			"node_cut",
			leader(Table{"from_state": true, "from_peers": true, "mode": mode(), "for_s": m.between(lease, 2*lease)}),
		),
		m.fault(alone+m.between(5, 30), "node_crash", Table{"count": int64(1), "busiest": true}),
		m.fault(
			again,
			"node_cut",
			leader(Table{"from_state": true, "from_peers": true, "mode": mode(), "for_s": m.between(20, lease)}),
		),
		m.fault(again+m.between(1, 12), "state_outage", Table{"for_s": m.between(10, 30)}),
	)

	// Transactions are carried out late and reports arrive again while controllers end and return.
	late := []Table{
		m.fault(m.between(85, 100), "late_writes", Table{"share": 0.3, "for_s": m.between(40, 80)}),
		m.fault(m.between(85, 120), "late_reports", Table{"share": 0.3, "for_s": 150.0}),
		m.fault(m.between(200, 230), "late_writes", Table{"share": 0.5, "for_s": m.between(15, 30)}),
		m.fault(m.between(220, 240), "node_roll", Table{"every_s": m.between(2, 6)})}
	for i := range 5 {
		late = append(late, m.fault(m.between(100+20*float64(i), 118+20*float64(i)), "node_crash", leader(nil)))
	}
	m.day(
		"late",
		all,
		append(late, m.fault(m.between(170, 215), "node_crash", Table{"count": controllers, "busiest": true}))...)

	// Machines hear no answer while the leader changes.
	deaf := m.between(95, 110)
	m.day(
		"deaf",
		all,
		m.fault(deaf, "machine_deaf", Table{"share": 0.2, "for_s": m.between(lease, 2*lease)}),
		m.fault(deaf+m.between(1, 25), "node_crash", leader(nil)),
		m.fault(m.between(150, 170), "late_reports", Table{"share": 0.2, "for_s": 100.0}),
		m.fault(
			m.between(210, 230),
			"machine_deaf",
			Table{"zone": m.zones[m.rng.IntN(len(m.zones))], "for_s": m.between(15, lease+10)},
		),
		m.fault(m.between(215, 250), "node_crash", Table{"count": controllers, "busiest": true}),
	)

	// Jobs of two and three tasks end far apart while the lead is handed over and back.
	var over []Table
	for i := range 6 {
		begin := 90 + 35*float64(i)
		switch m.rng.IntN(4) {
		case 0:
			over = append(over, m.fault(m.between(begin, begin+15), "node_crash", leader(nil)))
		case 1:
			over = append(
				over,
				m.fault(
					m.between(begin, begin+15),
					"node_cut",
					leader(Table{"from_state": true, "mode": mode(), "for_s": m.between(8, 25)}),
				),
			)
		case 2:
			over = append(over, m.fault(m.between(begin, begin+15), "node_freeze", leader(Table{"for_s": m.between(5, 20)})))
		case 3:
			over = append(
				over,
				m.fault(
					m.between(begin, begin+15),
					"node_cut",
					leader(Table{"from_workers": true, "mode": mode(), "for_s": m.between(8, 25)}),
				),
			)
		}
	}
	m.day("handover", arrays, over...)

	// The leader ends while machines can't be reached, and the state service is slow.
	silent := m.between(95, 110)
	m.day("silent", all,
		m.fault(silent, "machine_cut", Table{"count": int64(120), "mode": mode(), "for_s": m.between(lease-6, lease+20)}),
		m.fault(silent+m.between(2, 30), "node_crash", leader(nil)),
		m.fault(m.between(180, 200), "machine_hang", Table{"count": int64(120), "for_s": m.between(20, lease+10)}),
		m.fault(m.between(185, 230), "node_crash", Table{"count": controllers, "busiest": true}),
		m.fault(m.between(230, 250), "late_writes", Table{"share": 0.2, "for_s": 40.0}))
	m.days[len(m.days)-1].Day["vary"] = Table{"state_slow": 0.1, "state_slow_times": 60.0, "list_lag": 0.9}
	m.requestDays(all, arrays, controllers, lease, cancel)
	return m.days, nil
}

// requestDays are those on which users' requests meet the other troubles.
func (m *meetings) requestDays(all, arrays []Table, controllers int64, lease, cancel float64) {
	leader := Table{"count": int64(1), "busiest": true}
	everybody := Table{"count": controllers, "busiest": true}
	looks := func() []Table {
		return []Table{
			m.fault(60, "close_looks", Table{"for_s": 300.0}),
			m.fault(60, "odd_requests", Table{"for_s": 300.0}),
		}
	}
	calledOff := func(at float64, count int64, hang float64) Table {
		t := m.fault(at, "cancel_now", Table{"count": count})
		if hang > 0 {
			t["hang_s"] = hang
		}
		return t
	}

	// Users look closely and call off while answers are lost, reports are kept for the next leader,
	// controllers are rolled into an outage that lasts longer than a lease, and all end after it.
	refused, out := m.between(125, 135), m.between(210, 220)
	m.day("looks", []Table{{"name": all[len(all)-1]["name"], "cancelled": 0.3}}, append(
		looks(),
		m.fault(m.between(65, 75), "late_writes", Table{"share": 0.2, "for_s": 60.0, "at_once": true}),
		m.fault(80, "cancel_at_end", Table{"share": 0.4, "for_s": 200.0}),
		m.fault(m.between(85, 95), "late_reports", Table{"share": 0.2, "for_s": 100.0, "for_next": true}),
		m.fault(95, "machine_mute", Table{"share": 0.15, "for_s": m.between(lease, lease+20)}),
		calledOff(100, 40, 60),
		m.fault(m.between(100.2, 102), "node_crash", leader),
		m.fault(
			refused,
			"node_cut",
			Table{"count": int64(1), "busiest": true, "from_state": true, "from_peers": true, "for_s": 40.0, "mode": "refuse"},
		),
		calledOff(refused+3, 30, 0),
		m.fault(150, "machine_deaf", Table{"share": 0.1, "for_s": lease + 9}),
		m.fault(180, "late_writes", Table{"share": 0.3, "for_s": 40.0}),
		m.fault(190, "late_commands", Table{"share": 0.5, "for_s": 60.0}),
		m.fault(out-20, "node_roll", Table{"every_s": 5.0}),
		calledOff(out-15, 40, 50),
		m.fault(out, "state_outage", Table{"for_s": cancel + 5}),
		m.fault(out+cancel+8, "node_crash", everybody),
		calledOff(out+cancel+9, 30, 0),
	)...)

	// No outage: machines die and are taken, new ones are up at once, and the leader ends again and again.
	var ends []Table
	for i := range 9 {
		ends = append(ends, m.fault(m.between(100+15*float64(i), 112+15*float64(i)), "node_crash", leader))
	}
	m.day("leaders", nil, append(ends,
		m.fault(m.between(95, 105), "machine_die", Table{"count": int64(120)}),
		m.fault(m.between(170, 190), "spot_taken", Table{"share": 0.5, "notice_s": 0.0, "over_s": 20.0}),
		m.fault(m.between(110, 130), "late_writes", Table{"share": 0.3, "for_s": 80.0}))...)
	m.days[len(m.days)-1].Day["vary"] = Table{"boot": 0.3, "boot_slow": 0.0, "speed": 0.1}

	// Machines that reach nobody, held up commands and reports while work changes hands.
	mute := m.between(95, 110)
	m.day("mute", arrays, append(looks(),
		m.fault(mute, "machine_mute", Table{"zone": m.zones[m.rng.IntN(len(m.zones))], "for_s": m.between(15, lease+15)}),
		m.fault(mute+m.between(1, 20), "node_crash", leader),
		m.fault(mute, "late_commands", Table{"share": 0.5, "for_s": 120.0}),
		m.fault(m.between(150, 170), "late_reports", Table{"share": 0.3, "for_s": 80.0, "for_next": true}),
		m.fault(m.between(190, 210), "machine_mute", Table{"count": int64(150), "for_s": m.between(lease-5, 2*lease)}),
		m.fault(m.between(200, 225), "node_crash", everybody),
		calledOff(m.between(205, 225), 40, lease+10))...)

	// Called off at the moment at which the leader alone is refused, and out for all a second later.
	first, second := m.between(95, 105), m.between(230, 245)
	m.day("moment", all, append(
		looks(),
		m.fault(
			first,
			"node_cut",
			Table{"count": int64(1), "busiest": true, "from_state": true, "for_s": m.between(8, 25), "mode": "refuse"},
		),
		calledOff(first, 40, 0),
		m.fault(first+1, "state_outage", Table{"for_s": cancel + m.between(3, 12)}),
		m.fault(
			second,
			"node_cut",
			Table{"count": int64(1), "busiest": true, "from_state": true, "for_s": m.between(8, 25), "mode": "refuse"},
		),
		calledOff(second, 40, 30),
		m.fault(second+1, "state_outage", Table{"for_s": cancel + m.between(3, 12)}),
		m.fault(second+m.between(10, 40), "node_crash", leader),
	)...)
}

type meetings struct {
	rng   *rand.Rand
	seed  uint64
	days  []OwnDay
	zones []string
}

// between draws a number of tenths.
func (m *meetings) between(low, high float64) float64 {
	return low + float64(m.rng.IntN(max(1, int((high-low)*10))))/10
}

func (m *meetings) fault(at float64, kind string, fields Table) Table {
	t := Table{"at_s": at, "kind": kind}
	maps.Copy(t, fields)
	return t
}

func (m *meetings) day(name string, jobs []Table, faults ...Table) {
	d := Table{
		"name":   "own-" + name,
		"seed":   int64(950 + len(m.days) + 20*int(m.seed)),
		"slot":   "scale",
		"light":  false,
		"faults": asAny(faults),
	}
	if len(jobs) > 0 {
		d["jobs"] = asAny(jobs)
	}
	m.days = append(m.days, OwnDay{fmt.Sprintf("%s-%d", name, m.seed), d})
}
