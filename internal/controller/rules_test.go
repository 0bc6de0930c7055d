package controller

import (
	"strings"
	"sync"

	"maddermill/internal/exactjson"
	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// observedStates is a model of the job states that users may observe. A job is unknown, then accepted,
// then permanently done or cancelled. An answer may not be older than any answer that was given before
// its request was sent.
type observedStates struct {
	mu     sync.Mutex
	latest map[wire.JobID]wire.Status
}

// unknownJob is the state of a job that has not been submitted.
const unknownJob wire.Status = ""

// rank returns the order of a state in the life cycle of a job: 0 unknown, 1 accepted, 2 final.
func rank(s wire.Status) int {
	switch s {
	case unknownJob:
		return 0
	case wire.Done, wire.Cancelled:
		return 2
	}
	return 1
}

// latestOf returns the latest state of a job that any user has observed.
func (o *observedStates) latestOf(id wire.JobID) wire.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest[id]
}

// observe records an answer and reports whether it is valid for a request that was sent when before was
// the latest observed state.
func (o *observedStates) observe(id wire.JobID, before, got wire.Status) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if rank(got) > rank(o.latest[id]) {
		o.latest[id] = got
	}
	return rank(got) > rank(before) || rank(got) == rank(before) && (rank(got) < 2 || got == before)
}

// checkRules ends expired leases of machines and checks the invariants of running tasks.
func (cluster *testCluster) checkRules() {
	for _, machine := range cluster.cloud.Up() {
		machine.Lapse()
	}
	cluster.world.Check()
}

// reportViolations reports violated invariants of machines and of the state service.
func (cluster *testCluster) reportViolations() {
	cluster.t.Helper()
	cluster.reportBrokenRules()
	for _, problem := range cluster.store.Problems {
		cluster.t.Errorf("seed %d: state service: %s", cluster.seed, problem)
	}
}

// reportBrokenRules reports violated invariants of machines.
func (cluster *testCluster) reportBrokenRules() {
	cluster.t.Helper()
	for _, violation := range cluster.world.Violations {
		cluster.t.Errorf("seed %d: rule violated: %s", cluster.seed, violation)
	}
}

// checkArchive compares the final records with the archive. A job is in only one of them, each archived
// job passes the filter of a new controller. The ledger's list of machine phases must agree with the phase
// of each machine.
func (cluster *testCluster) checkArchive() {
	cluster.t.Helper()
	l, archived := cluster.loadRecords()
	for _, id := range archived {
		_, cached := l.FinalRecordOf(id)
		inRecords, passes := l.Job(id) != nil, cluster.filterPasses(l, id)
		if cached || inRecords || !passes {
			cluster.t.Errorf(
				"seed %d: archived job %s: in the records %v, in the cache of archived states %v, passes the filter %v; "+
					"want false, false, true",
				cluster.seed,
				id,
				inRecords,
				cached,
				passes,
			)
		}
	}
	l.MachinePhases(func(machine wire.MachineID, want ledger.MachinePhase) {
		if got := l.MachinePhase(machine); got != want {
			cluster.t.Errorf("seed %d: phase of machine %s: got %s, want %s", cluster.seed, machine, got, want)
		}
	})
	if cluster.archiving && (len(archived) == 0 || l.CountTerminated() == 0) {
		cluster.t.Errorf(
			"seed %d: got %d jobs archived and %d machines pruned, want some of each",
			cluster.seed,
			len(archived),
			l.CountTerminated(),
		)
	}
	cluster.t.Logf("%d jobs archived, %d machines pruned", len(archived), l.CountTerminated())
}

// loadRecords returns the records as a new controller would load them, and the archived jobs.
func (cluster *testCluster) loadRecords() (l *ledger.Ledger, archived []wire.JobID) {
	l = ledger.New(Limits(newTestSettings(cluster.t, 0)))
	for _, item := range cluster.store.Items() {
		if id, ok := strings.CutPrefix(item.Key, ledger.FinalKey("")); ok {
			archived = append(archived, wire.JobID(id))
		} else if strings.HasPrefix(item.Key, ledger.Prefix) {
			l.Apply(ledger.Event{Key: item.Key, Value: item.Value, Version: item.Version})
		}
	}
	return l, archived
}

// filterPasses reports whether a job may be archived according to the filter. It loads the page of the
// filter that covers the job if it isn't loaded yet.
func (cluster *testCluster) filterPasses(l *ledger.Ledger, id wire.JobID) bool {
	cluster.t.Helper()
	if !l.FilterPageKnown(string(id)) {
		page, version := archive.EmptyPage(), wire.Revision(0)
		after := ledger.FilterKey(archive.Position(string(id)))
		items, err := cluster.links[0].List(cluster.t.Context(), ledger.FilterPrefix, after, 1)
		if err != nil {
			cluster.t.Fatal(err)
		}
		if len(items.Items) > 0 {
			if err := exactjson.Unmarshal(items.Items[0].Value, page); err != nil {
				cluster.t.Fatal(err)
			}
		}
		l.PutFilterPage(page, version, l.FilterAdditions())
	}
	passes, _ := l.MayBeArchived(id)
	return passes
}
