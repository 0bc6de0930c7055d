package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"maddermill/internal/state/watchcache"

	"maddermill/internal/scheduler/deadline"
	"maddermill/internal/scheduler/placement"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/controllertest"
	"maddermill/wire"
)

// deadlineCase describes a cluster with twelve jobs and four empty machines. register adds a
// register of galleries (groups of jobs with a promised date); inGallery assigns the first two jobs
// to its gallery.
type deadlineCase struct{ register, inGallery bool }

// decisions are the latest starts computed by the scheduler and all decisions of placement.
type decisions struct {
	latest map[wire.JobID]time.Time // latest starts
	all    []string
}

// machineName returns the name of a machine.
func (deadlineCase) machineName(i int) wire.MachineID { return wire.MachineID(fmt.Sprint("host-", i)) }

// parts returns the components of a controller in the state of the test case.
func (c deadlineCase) parts(t *testing.T, now time.Time) *controllertest.Parts {
	t.Helper()
	p := controllertest.New(t, 0)
	records := p.Cache.Records()
	watchcache.SetStateForTest(t, p.Cache, 1, now)
	records.Apply(ledger.Event{
		Key:     ledger.MachineTypeKey("g2"),
		Version: 1,
		Value:   []byte(`{"sku":"g2","cores":8,"accelerators":2,"ram_gb":32,"fetch_gb_per_s":1,"yards":["a"]}`),
	})
	if c.register {
		r, err := deadline.Parse(
			[]byte(`revision: 1 gallery { name: "g" team: "none" promised: "2030-01-01T00:00:00Z" class: "none" }`),
			nil,
		)
		if err != nil {
			t.Fatal(err)
		}
		p.Deadlines.SetRegister(r)
	}
	date := now.Add(100 * time.Second).UnixMilli()
	records.Apply(ledger.Event{
		Key:     ledger.GalleryPrefix + "g",
		Version: 2,
		Value:   fmt.Appendf(nil, `{"team":"free","dates":[{"at":1,"date":%d}],"since":1,"reg":1}`, date),
	})
	for n := range 12 {
		records.Apply(ledger.Event{
			Key:     fmt.Sprintf("%sj/wk-%06d", ledger.Prefix, n),
			Version: wire.Revision(n + 3),
			Value:   c.job(n, now),
		})
	}
	for i := range 4 {
		r := &wire.Heartbeat{Machine: c.machineName(i), Type: "g2", Zone: "a", Epoch: 1, Sequence: 1, FencingToken: 1}
		p.Registry.Register(r, now).Reconcile(r, nil, 1, now)
	}
	return p
}

// job returns the record of the n-th job.
func (c deadlineCase) job(n int, now time.Time) []byte {
	shape, tasks, gallery := "array", 1+n%3, ""
	if n%4 == 0 {
		shape, tasks = "gang", 2
	}
	if c.inGallery && n < 2 {
		gallery = `,"g":"g"`
	}
	spec := fmt.Sprintf(
		`{"id":"wk-%06d","workclass":"c","pieces":%d,"shape":%q,"urgency":"normal","owner":"free",`+
			`"cores":2,"bundle":"i%d","pull_gb":2,"expect_s":%d}`,
		n, tasks, shape, n%2, 20+20*n)
	return fmt.Appendf(nil, `{"spec":%s,"at":%d%s}`, spec, now.UnixMilli()-int64(n), gallery)
}

// decide returns the decisions for the test case.
func (c deadlineCase) decide(t *testing.T, now time.Time) decisions {
	t.Helper()
	v := c.parts(t, now).Scheduler.Snapshot(now)
	d := decisions{latest: map[wire.JobID]time.Time{}}
	for i := range v.Queue {
		e := &v.Queue[i]
		d.latest[e.Job.ID] = e.LatestStart
		d.all = append(d.all, fmt.Sprint(e.Job.ID, e.LatestStart.Sub(now), e.Overdue, e.AlmostOverdue))
	}
	for i := range 4 {
		m := v.Machine(c.machineName(i))
		for _, s := range placement.PlaceOnMachine(v, m) {
			d.all = append(d.all, fmt.Sprint(m.ID, s.Job.ID, s.Count, s.Source))
		}
	}
	for _, g := range placement.PlaceGangs(v) {
		d.all = append(d.all, fmt.Sprint(g.Entry.Job.ID, g.Parts))
	}
	return d
}

// TestOnlyGalleryJobsChangeDecisions verifies that a register that refers to none of the jobs
// leaves every decision unchanged, and that jobs of a gallery must start as early as its longest
// one while the decisions for other jobs do not change.
func TestOnlyGalleryJobsChangeDecisions(t *testing.T) {
	now := time.Now()
	without := deadlineCase{}.decide(t, now)
	with := deadlineCase{register: true}.decide(t, now)
	if !slices.Equal(without.all, with.all) || len(without.all) < 14 {
		t.Errorf("decisions without a register: %v, with one: %v", without.all, with.all)
	}
	before := deadlineCase{}.decide(t, now).latest
	after := deadlineCase{register: true, inGallery: true}.decide(t, now).latest
	for id, latest := range after {
		switch inGallery := id < "wk-000002"; {
		case inGallery && !latest.Equal(after["wk-000000"]):
			t.Errorf("%s must start by %v, another job of its gallery by %v", id, latest, after["wk-000000"])
		case inGallery && !latest.Before(before[id]), !inGallery && !latest.Equal(before[id]):
			t.Errorf("%s must start by %v, without a gallery by %v", id, latest.Sub(now), before[id].Sub(now))
		}
	}
	// The expected run time of the longest job is 40 s; 50 s with the margin of a quarter. The
	// image fetch takes 2 s.
	if got := after["wk-000000"].Sub(now).Round(time.Second); got != 48*time.Second {
		t.Errorf("the gallery's jobs must start within %v, want 48s", got)
	}
}
