package controller

import (
	"encoding/json"
	"strings"
	"sync"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// observedStates is the model of the states of jobs that users may see: a job is unknown, then
// accepted, then done or cancelled for good. An answer may not be older than one that was given
// before its request.
type observedStates struct {
	mu     sync.Mutex
	latest map[wire.JobID]wire.Status
}

// unknownJob is the state of a job that was not submitted.
const unknownJob wire.Status = ""

// rank orders states by their place in a job's life: unknown, accepted, final.
func rank(s wire.Status) int {
	switch s {
	case unknownJob:
		return 0
	case wire.Done, wire.Cancelled:
		return 2
	}
	return 1
}

// latestOf returns the latest state of a job that any user has seen.
func (o *observedStates) latestOf(id wire.JobID) wire.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest[id]
}

// observe records an answer and reports whether it may be given to a request before which a state was
// the latest.
func (o *observedStates) observe(id wire.JobID, before, got wire.Status) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if rank(got) > rank(o.latest[id]) {
		o.latest[id] = got
	}
	return rank(got) > rank(before) || rank(got) == rank(before) && (rank(got) < 2 || got == before)
}

// checkRules ends leases that are over by now and checks what runs on machines.
func (cluster *testCluster) checkRules() {
	for _, machine := range cluster.cloud.Up() {
		machine.Lapse()
	}
	cluster.world.Check()
}

// reportViolations reports rules that were violated on machines and in the state service.
func (cluster *testCluster) reportViolations() {
	cluster.t.Helper()
	cluster.reportBrokenRules()
	for _, problem := range cluster.store.Problems {
		cluster.t.Errorf("seed %d: state service: %s", cluster.seed, problem)
	}
}

// reportBrokenRules reports rules that were violated on machines.
func (cluster *testCluster) reportBrokenRules() {
	cluster.t.Helper()
	for _, rule := range cluster.world.Broken {
		cluster.t.Errorf("seed %d: rule violated: %s", cluster.seed, rule)
	}
}

// checkArchive compares the records at the end with the archive: a job is in one of them only, and
// the filter lets a new controller find each archived job.
func (cluster *testCluster) checkArchive() {
	cluster.t.Helper()
	l, archived := cluster.loadRecords()
	for _, id := range archived {
		_, known := l.FinalRecordOf(id)
		onRecord, found := l.Job(id) != nil, cluster.filterPasses(l, id)
		if known || onRecord || !found {
			cluster.t.Errorf(
				"seed %d: archived job %s: in the records %v, in the cache of archived states %v, passed by the filter %v; "+
					"want false, false, true",
				cluster.seed,
				id,
				onRecord,
				known,
				found,
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

// filterPasses reports whether the filter says that a job may be archived. It loads the page of the
// filter that covers the job.
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
			if err := json.Unmarshal(items.Items[0].Value, page); err != nil {
				cluster.t.Fatal(err)
			}
		}
		l.PutFilterPage(page, version, l.FilterAdditions())
	}
	passes, _ := l.MayBeArchived(id)
	return passes
}
