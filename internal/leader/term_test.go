package leader

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"maddermill/internal/state/ledger"
	"maddermill/wire"
)

// bootingCloud has no machine types and a single machine, which is booting.
type bootingCloud struct{ recordingCloud }

func (*bootingCloud) MachineTypes(context.Context) ([]wire.MachineType, error) { return nil, nil }

func (*bootingCloud) List(context.Context) ([]wire.ListedMachine, error) {
	return []wire.ListedMachine{{ID: "host-1", Type: "g2", Zone: "a", State: wire.MachineBooting}}, nil
}

// TestTermEndsWithItsRecord checks that a term creates the leader record under a lease, renews the lease, ends
// soon after the record is deleted, and then reports no booting machines.
func TestTermEndsWithItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLeader(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		if _, err := l.Cache.Load(ctx); err != nil {
			t.Fatal(err)
		}
		go func() { _ = l.Cache.Watch(ctx) }() // returns the error of ctx
		ended := make(chan error, 1)
		go func() { ended <- l.runTerm(ctx, &bootingCloud{}) }()
		time.Sleep(10 * time.Second) // longer than the lease, which is renewed
		l.Cache.Lock()
		record, version := l.records().Leader()
		booting, _ := l.BootingMachines()
		l.Cache.Unlock()
		if record.Member != l.set.Member || version == 0 {
			t.Fatalf("got leader %+v with version %d, want %s", record, version, l.set.Member)
		}
		if booting != 1 {
			t.Errorf("during the term: got %d booting machines, want 1", booting)
		}
		if _, err := l.store.Commit(ctx, wire.Txn{Then: []wire.Change{{Delete: ledger.LeaderKey}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * leaseRenewInterval)
		select {
		case err := <-ended:
			if !errors.Is(err, errOtherLeader) {
				t.Errorf("got error %v, want %v", err, errOtherLeader)
			}
		default:
			t.Error("the term continues without its leader record")
		}
		if booting, _ := l.BootingMachines(); booting != 0 {
			t.Errorf("after the term: got %d booting machines, want 0", booting)
		}
	})
}
