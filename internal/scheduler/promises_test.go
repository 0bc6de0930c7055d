package scheduler_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// TestOnlyTiesChangeDecisions: with a register that names none of the jobs what is decided is what
// it is without one, job by job and machine by machine; jobs that are tied to a gallery press as
// early as its longest needs, and no others do.
func TestOnlyTiesChangeDecisions(t *testing.T) {
	now := time.Now()
	decide := func(register, tied bool) (starts map[wire.JobID]time.Time, out []string) {
		p := controllertest.New(t, 0)
		led := p.Cache.Records()
		p.Cache.SetForTest(1, now)
		led.Apply(
			ledger.Event{
				Key:     ledger.MachineTypeKey("g2"),
				Version: 1,
				Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"fetch_gb_per_s":1,"yards":["a"]}`),
			},
		)
		if register {
			r, err := deadline.Parse(
				[]byte(`revision: 1 gallery { name: "g" team: "none" promised: "2030-01-01T00:00:00Z" class: "none" }`),
				nil,
			)
			if err != nil {
				t.Fatal(err)
			}
			p.Deadlines.Set(r)
		}
		date := now.Add(100 * time.Second).UnixMilli()
		led.Apply(
			ledger.Event{
				Key:     ledger.GalleryPrefix + "g",
				Version: 2,
				Value:   fmt.Appendf(nil, `{"team":"free","dates":[{"at":1,"date":%d}],"since":1,"reg":1}`, date),
			},
		)
		for n := range 12 {
			shape, tasks, tie := "array", 1+n%3, ""
			if n%4 == 0 {
				shape, tasks = "gang", 2
			}
			if tied && n < 2 {
				tie = `,"g":"g"`
			}
			id := fmt.Sprintf("wk-%06d", n)
			led.Apply(ledger.Event{Key: ledger.Prefix + "j/" + id, Version: wire.Revision(n + 3), Value: fmt.Appendf(
				nil,
				`{"spec":{"id":%q,"workclass":"c","pieces":%d,"shape":%q,"urgency":"normal","owner":"free","cores":2,"bundle":"i%d","pull_gb":2,"expect_s":%d},"at":%d%s}`,
				id,
				tasks,
				shape,
				n%2,
				20+20*n,
				now.UnixMilli()-int64(n),
				tie,
			)})
		}
		for i := range 4 {
			r := &wire.Heartbeat{
				Machine:      wire.MachineID(fmt.Sprint("host-", i)),
				Type:         "g2",
				Zone:         "a",
				Epoch:        1,
				Sequence:     1,
				FencingToken: 1,
			}
			p.Registry.Register(r, now).Reconcile(r, nil, 1, now)
		}
		v := p.Scheduler.Snapshot(now)
		starts = map[wire.JobID]time.Time{}
		for i := range v.Queue {
			e := &v.Queue[i]
			starts[e.Job.ID] = e.LatestStart
			out = append(out, fmt.Sprint(e.Job.ID, e.LatestStart.Sub(now), e.Overdue, e.AlmostOverdue))
		}
		for i := range 4 {
			m := v.Machine(wire.MachineID(fmt.Sprint("host-", i)))
			for _, s := range placement.PlaceOnMachine(v, m) {
				out = append(out, fmt.Sprint(m.ID, s.Job.ID, s.Count, s.How))
			}
		}
		for _, g := range placement.PlaceGangs(v) {
			out = append(out, fmt.Sprint(g.Entry.Job.ID, g.Parts))
		}
		return starts, out
	}
	_, plain := decide(false, false)
	if _, with := decide(true, false); !reflect.DeepEqual(plain, with) || len(plain) < 14 {
		t.Errorf("decided %v, with a register %v", plain, with)
	}
	before, _ := decide(false, false)
	after, _ := decide(true, true)
	for id, by := range after {
		switch tied := id < "wk-000002"; {
		case tied && !by.Equal(after["wk-000000"]):
			t.Errorf("%s must start by %v, its gallery's others by %v", id, by, after["wk-000000"])
		case tied && !by.Before(before[id]), !tied && !by.Equal(before[id]):
			t.Errorf("%s must start by %v, without ties by %v", id, by.Sub(now), before[id].Sub(now))
		}
	}
	// The longest is estimated at 40 s, of which a quarter more is taken, and 2 s to fetch.
	if got := after["wk-000000"].Sub(now).Round(time.Second); got != 48*time.Second {
		t.Errorf("the gallery's jobs must start within %v", got)
	}
}
