package ledger_test

import (
	"testing"

	"maddermill/internal/state/archive"
	"maddermill/internal/state/ledger"
	"maddermill/internal/testing/model"
	"maddermill/wire"
)

// TestLateClaimOnCompactedMachine guards against a claim that is committed after its machine was terminated and
// compacted. The machine then has no record of its own any more, so the claim must fail by the condition on the head
// of the machine's series. Without that condition it must violate a rule of the model.
func TestLateClaimOnCompactedMachine(t *testing.T) {
	for _, unguardedPrefix := range []string{"", "mm1/g/"} {
		t.Run("without conditions on "+unguardedPrefix, func(t *testing.T) {
			f := newFixture(limits)
			if unguardedPrefix != "" {
				f.store.UncheckedPrefixes = map[string]bool{unguardedPrefix: true}
			}
			record := []byte(`{"by":"m-0","token":1}`)
			if err := f.tryCommit(wire.Txn{Then: []wire.Change{{Put: ledger.LeaderKey, Value: record}}}); err != nil {
				t.Fatal(err)
			}
			f.run(t, func(txn *ledger.Transaction) error { return txn.UpgradeFormat(ledger.ArchiveFormat, 0) })
			j := f.submit(t, arraySpec("wk-000001", 1))
			terminateAndCompact(t, f, 3)
			late := f.ledger.NewTransaction()
			if _, err := late.Claim(j, target(4, 1), 1, nil); err != nil {
				t.Fatal(err)
			}
			terminateAndCompact(t, f, 4)
			l := f.ledger
			if n := l.CountTerminated(); n != 2 || l.MachinePhase("host-4") != ledger.Terminated ||
				l.MachinePhase("host-5") != "" {
				t.Errorf(
					"got %d machines terminated, phases %q and %q, want 2, %q and none",
					n, l.MachinePhase("host-4"), l.MachinePhase("host-5"), ledger.Terminated,
				)
			}
			before := model.Read(l, []wire.JobID{j.ID}, nil, model.State{})
			before.MachinePhases["host-4"] = ledger.Terminated
			request, err := late.Request()
			if err != nil {
				t.Fatal(err)
			}
			err = f.tryCommit(request)
			after := model.Read(l, []wire.JobID{j.ID}, nil, before)
			violations := model.Check(before, after, nil, nil)
			if broken := unguardedPrefix != ""; (err == nil) != broken || (len(violations) > 0) != broken {
				t.Errorf("got %v and %v, want a violation: %v", err, violations, broken)
			}
		})
	}
}

// terminateAndCompact advances a machine through its phases and compacts its record.
func terminateAndCompact(t *testing.T, f *fixture, machine int) {
	t.Helper()
	m := target(machine, 1).Machine
	part, _ := archive.PartOfMachine(string(m))
	_, leader := f.ledger.Leader()
	for _, phase := range []ledger.MachinePhase{ledger.Terminating, ledger.Terminated} {
		f.run(t, func(txn *ledger.Transaction) error { return txn.SetMachinePhase(m, phase, "test", leader) })
	}
	f.run(t, func(txn *ledger.Transaction) error {
		return txn.CompactTerminated(part, []wire.MachineID{m})
	})
}
